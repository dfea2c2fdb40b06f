#include "admission/execution_estimate.h"

#include <algorithm>
#include <cmath>

namespace poplarfront::admission {

void execution_estimate::record(kernel::duration execution) {
    constexpr double smoothing = 0.05;
    // Bounds outliers: otherwise a few requests that run until their deadlines raise the estimate
    // so far that requests of searchers within their shares are refused.
    constexpr double max_mean_factor = 2.0;
    constexpr double max_deviations = 4.0;
    double us = std::chrono::duration<double, std::micro>(execution).count();
    if (mean_us_ == 0.0) {
        mean_us_ = us;
        return;
    }
    us = std::min(us,
                  std::max(max_mean_factor * mean_us_, mean_us_ + max_deviations * deviation_us_));
    deviation_us_ += smoothing * (std::abs(us - mean_us_) - deviation_us_);
    mean_us_ += smoothing * (us - mean_us_);
}

kernel::duration execution_estimate::value() const {
    constexpr double deviations = 3.0;
    return std::chrono::duration_cast<kernel::duration>(
        std::chrono::duration<double, std::micro>(mean_us_ + deviations * deviation_us_));
}

}  // namespace poplarfront::admission
