#pragma once

#include "kernel/concepts.h"

namespace poplarfront::admission {

/// Estimates the time in which nearly all executions end, as mean plus three mean deviations.
/// Used by one thread.
class execution_estimate {
public:
    void record(kernel::duration execution);

    /// Zero until something was recorded.
    [[nodiscard]] kernel::duration value() const;

private:
    double mean_us_ = 0.0;
    double deviation_us_ = 0.0;
};

}  // namespace poplarfront::admission
