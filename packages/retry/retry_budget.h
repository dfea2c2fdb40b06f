#pragma once

#include <algorithm>
#include <optional>

#include "kernel/concepts.h"

namespace poplarfront::retry {

struct retry_budget_options {
    /// Tokens earned per primary request outside the fault window.
    double steady_ratio = 0.05;
    /// Tokens earned per primary request within the fault window.
    double fault_ratio = 0.10;
    /// How long `fault_ratio` applies after a failure.
    kernel::duration fault_window = std::chrono::seconds{5};
    /// The most tokens that can accumulate.
    double burst = 10;
    /// The fraction of the burst that is available at the start. It can be set below 1, because an
    /// instance that restarts may have spent a whole burst just before.
    double initial_fraction = 1;
    /// Tokens that only requests which replace lost ones may take.
    double reserve = 0;
    /// Once this long has passed since the last token was taken, one extra request is allowed even
    /// if the budget is empty or only the reserve is left, so that an instance with little traffic
    /// can still retry a query. Has no effect if `burst` is below 1.
    kernel::duration idle_refill = std::chrono::seconds{10};
    /// Tokens added per second, with or without traffic, up to the burst.
    double refill_per_second = 0;
};

/// Token bucket that limits extra requests, that is hedges and retries: each primary request earns
/// a fraction of a token and each extra request takes one. Not thread-safe.
class retry_budget {
public:
    explicit retry_budget(retry_budget_options options = {})
        : options_(options), tokens_(options.burst * options.initial_fraction) {}

    /// Changes the burst, the reserve and the refill rate. Tokens above the new burst are lost.
    void resize(double burst, double reserve, double refill_per_second) {
        options_.burst = burst;
        options_.reserve = reserve;
        options_.refill_per_second = refill_per_second;
        tokens_ = std::min(tokens_, burst);
    }

    /// Adds the tokens of `refill_per_second` for the time since the last call; the first call only
    /// sets the time.
    void refill(kernel::time_point now) {
        if (last_refill_) {
            const double seconds = std::chrono::duration<double>(now - *last_refill_).count();
            tokens_ = std::min(options_.burst, tokens_ + seconds * options_.refill_per_second);
        }
        last_refill_ = now;
    }

    /// Counts a primary request.
    void on_primary(kernel::time_point now) {
        const double earned = in_fault_window(now) ? options_.fault_ratio : options_.steady_ratio;
        tokens_ = std::min(options_.burst, tokens_ + earned);
    }

    /// Counts a failed attempt.
    void on_failure(kernel::time_point now) { fault_window_end_ = now + options_.fault_window; }

    /// Whether try_take() would succeed.
    [[nodiscard]] bool available(kernel::time_point now) const {
        return has_tokens(1 + options_.reserve, now);
    }

    /// Whether try_take_reserved() would succeed.
    [[nodiscard]] bool available_reserved(kernel::time_point now) const {
        return has_tokens(1, now);
    }

    /// Takes a token for one extra request. Returns false if there is none above the reserve.
    bool try_take(kernel::time_point now) { return take_above(options_.reserve, now); }

    /// Takes a token, from the reserve too, for a request that replaces a lost one. Returns false
    /// if there is none.
    bool try_take_reserved(kernel::time_point now) { return take_above(0, now); }

    /// Whether the last failure is at most `fault_window` ago.
    [[nodiscard]] bool in_fault_window(kernel::time_point now) const {
        return now <= fault_window_end_;
    }

    [[nodiscard]] double tokens() const { return tokens_; }

    /// Whether at least the given fraction of the burst is available.
    [[nodiscard]] bool is_filled_to(double fraction) const {
        return tokens_ >= fraction * options_.burst;
    }

private:
    [[nodiscard]] bool has_tokens(double needed, kernel::time_point now) const {
        // Twenty additions of 0.05 give less than 1 because of rounding errors.
        constexpr double rounding = 1e-9;
        return tokens_ + rounding >= needed || idle_tokens(now) >= 1;
    }

    bool take_above(double reserve, kernel::time_point now) {
        if (!has_tokens(1 + reserve, now)) {
            return false;
        }
        tokens_ = std::max(tokens_, idle_tokens(now));
        tokens_ -= 1;
        next_idle_token_ = now + options_.idle_refill;
        return true;
    }

    /// One token (at most the burst) if at least `idle_refill` has passed since a token was taken,
    /// otherwise 0; always 0 before the first token is taken.
    [[nodiscard]] double idle_tokens(kernel::time_point now) const {
        return now >= next_idle_token_ ? std::min(1.0, options_.burst) : 0;
    }

    retry_budget_options options_;
    double tokens_ = 0;
    kernel::time_point fault_window_end_ = kernel::time_point::min();
    kernel::time_point next_idle_token_ = kernel::time_point::max();
    std::optional<kernel::time_point> last_refill_;
};

}  // namespace poplarfront::retry
