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
        // A fixed factor of 0.9 took 22 round trips, each as long as a deadline at worst, to lower
        // the initial limit when a surge began.
        const double threshold_ratio = std::chrono::duration<double>(latency_threshold_) /
                                       std::chrono::duration<double>(sample.latency);
        return limit * (sample.shed
                            ? decrease_factor
                            : std::clamp(threshold_ratio, min_decrease_factor, decrease_factor));
    }
    // A limit that is not in use must not grow: it would be too high to bound a later surge.
    const bool in_use = static_cast<double>(in_flight) >= limit / 2;
    return in_use ? limit + 1.0 / limit : limit;
}

}  // namespace poplarfront::admission
