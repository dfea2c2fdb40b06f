#pragma once

#include "kernel/concepts.h"

namespace poplarfront::admission {

/// A token bucket whose balance may become negative: tokens accrue at a fixed rate up to the burst
/// size. Precondition of all functions: `now` does not decrease from call to call.
///
/// Thread safety: used on one thread.
class token_bucket {
public:
    /// Starts with a full bucket. `rate` is in tokens per second.
    token_bucket(double rate, double burst, kernel::time_point now)
        : rate_(rate), burst_(burst), tokens_(burst), updated_(now) {}

    [[nodiscard]] double balance(kernel::time_point now);
    void take(double tokens, kernel::time_point now);
    /// Returns tokens that were taken and not used, up to the burst size.
    void refund(double tokens, kernel::time_point now);
    /// Sets a new rate and burst size. Keeps the balance, up to the new burst size.
    void reconfigure(double rate, double burst, kernel::time_point now);

    [[nodiscard]] double rate() const { return rate_; }

private:
    double rate_;
    double burst_;
    double tokens_;
    kernel::time_point updated_;
};

}  // namespace poplarfront::admission
