#pragma once

#include <algorithm>
#include <cstdint>

#include "kernel/concepts.h"

namespace poplarfront::membership {

/// Limits the rate of pushes: allows a burst, then one push per refill interval.
///
/// Thread safety: used on one thread.
class push_rate_limiter {
public:
    push_rate_limiter(std::uint32_t burst, kernel::duration refill_interval, kernel::time_point now)
        : burst_(burst),
          refill_interval_(refill_interval),
          tokens_(burst),
          next_token_(now + refill_interval) {}

    /// Takes the token for one push. Returns false if there is none.
    bool take(kernel::time_point now) {
        if (next_token_ <= now) {
            const auto accrued = (now - next_token_) / refill_interval_ + 1;
            next_token_ += accrued * refill_interval_;
            const auto capacity_left = static_cast<std::int64_t>(burst_ - tokens_);
            tokens_ += static_cast<std::uint32_t>(std::min<std::int64_t>(accrued, capacity_left));
        }
        if (tokens_ == 0) {
            return false;
        }
        --tokens_;
        return true;
    }

    /// When the next push is allowed, if there is no token now.
    [[nodiscard]] kernel::time_point next() const { return next_token_; }

private:
    std::uint32_t burst_;
    kernel::duration refill_interval_;
    std::uint32_t tokens_;
    kernel::time_point next_token_;
};

}  // namespace poplarfront::membership
