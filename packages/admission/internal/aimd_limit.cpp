#include "admission/aimd_limit.h"

#include <algorithm>

namespace poplarfront::admission {

double aimd_limit::next(double limit, std::uint32_t in_flight, const limit_sample& sample) {
    constexpr double decrease_factor = 0.9;
    constexpr double min_decrease_factor = 0.5;
    ++samples_since_decrease_;
    if (sample.shed || sample.latency > latency_threshold_) {
        if (samples_since_decrease_ < in_flight) {
            return limit;
        }
        samples_since_decrease_ = 0;
        // The decrease is larger the more the latency exceeds the threshold: a fixed factor of 0.9
        // needs 22 round trips, each up to a deadline long, to lower the initial limit in a surge.
        const double threshold_ratio = std::chrono::duration<double>(latency_threshold_) /
                                       std::chrono::duration<double>(sample.latency);
        return limit * (sample.shed
                            ? decrease_factor
                            : std::clamp(threshold_ratio, min_decrease_factor, decrease_factor));
    }
    // An unused limit must not grow: it would be too high to bound a later surge.
    const bool half_used = static_cast<double>(in_flight) >= limit / 2;
    return half_used ? limit + 1.0 / limit : limit;
}

}  // namespace poplarfront::admission
