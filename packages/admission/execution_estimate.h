#pragma once

#include "kernel/concepts.h"

namespace poplarfront::admission {

/// Estimates the time within which nearly all executions end, as the mean plus three mean absolute
/// deviations.
///
/// Thread safety: used on one thread.
class execution_estimate {
public:
    void record(kernel::duration execution);

    /// Zero until an execution has been recorded.
    [[nodiscard]] kernel::duration value() const;

private:
    double mean_us_ = 0.0;
    double deviation_us_ = 0.0;
};

}  // namespace poplarfront::admission
