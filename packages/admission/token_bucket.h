#pragma once

#include "kernel/concepts.h"

namespace poplarfront::admission {

/// Tokens that accrue at a fixed rate up to a bound. The balance may be negative. Used by one
/// thread.
class token_bucket {
public:
    /// A full bucket. `rate` is in tokens per second.
    token_bucket(double rate, double burst, kernel::time_point now)
        : rate_(rate), burst_(burst), tokens_(burst), updated_(now) {}

    /// Precondition for all: `now` does not decrease from call to call.
    [[nodiscard]] double balance(kernel::time_point now);
    void take(double tokens, kernel::time_point now);
    /// Returns tokens that were taken and not used.
    void refund(double tokens, kernel::time_point now);
    /// Keeps the balance, bounded by the new burst.
    void change(double rate, double burst, kernel::time_point now);

    [[nodiscard]] double rate() const { return rate_; }

private:
    double rate_;
    double burst_;
    double tokens_;
    kernel::time_point updated_;
};

}  // namespace poplarfront::admission
