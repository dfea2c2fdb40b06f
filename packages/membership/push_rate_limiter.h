#pragma once

#include <algorithm>
#include <cstdint>

#include "kernel/concepts.h"

namespace poplarfront::membership {

/// Allows a burst of pushes and then one each `refill`.
///
/// Thread safety: used on one thread.
class push_rate_limiter {
public:
    push_rate_limiter(std::uint32_t burst, kernel::duration refill, kernel::time_point now)
        : burst_(burst), refill_(refill), tokens_(burst), next_token_(now + refill) {}

    /// Takes one push out of the allowance. Returns whether there was one.
    bool take(kernel::time_point now) {
        if (next_token_ <= now) {
            const auto earned = (now - next_token_) / refill_ + 1;
            next_token_ += earned * refill_;
            const auto room = static_cast<std::int64_t>(burst_ - tokens_);
            tokens_ += static_cast<std::uint32_t>(std::min<std::int64_t>(earned, room));
        }
        if (tokens_ == 0) {
            return false;
        }
        --tokens_;
        return true;
    }

    /// When the next push will be allowed, if none is now.
    [[nodiscard]] kernel::time_point next() const { return next_token_; }

private:
    std::uint32_t burst_;
    kernel::duration refill_;
    std::uint32_t tokens_;
    kernel::time_point next_token_;
};

}  // namespace poplarfront::membership
