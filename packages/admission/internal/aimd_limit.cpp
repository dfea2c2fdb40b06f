#include "admission/aimd_limit.h"

namespace poplarfront::admission {

double aimd_limit::next(double limit, std::uint32_t in_flight, const limit_sample& sample) {
    constexpr double decrease = 0.9;
    ++since_decrease_;
    if (sample.shed || sample.latency > longest_latency_) {
        if (since_decrease_ < in_flight) {
            return limit;
        }
        since_decrease_ = 0;
        return limit * decrease;
    }
    // An unused limit must not grow, or a surge would meet no limit at all.
    const bool used = static_cast<double>(in_flight) >= limit / 2;
    return used ? limit + 1.0 / limit : limit;
}

}  // namespace poplarfront::admission
