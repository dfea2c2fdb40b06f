#include "admission/aimd_limit.h"

#include <algorithm>

namespace poplarfront::admission {

double aimd_limit::next(double limit, std::uint32_t in_flight, const limit_sample& sample) {
    constexpr double decrease = 0.9;
    constexpr double largest_decrease = 0.5;
    ++since_decrease_;
    if (sample.shed || sample.latency > longest_latency_) {
        if (since_decrease_ < in_flight) {
            return limit;
        }
        since_decrease_ = 0;
        // Steps of 0.9 alone took 22 round trips, of up to the deadline each, to come down from the
        // initial limit when a surge began.
        const double excess = std::chrono::duration<double>(longest_latency_) /
                              std::chrono::duration<double>(sample.latency);
        return limit * (sample.shed ? decrease : std::clamp(excess, largest_decrease, decrease));
    }
    // An unused limit must not grow, or a surge would meet no limit at all.
    const bool used = static_cast<double>(in_flight) >= limit / 2;
    return used ? limit + 1.0 / limit : limit;
}

}  // namespace poplarfront::admission
