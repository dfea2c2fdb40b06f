#pragma once

#include <algorithm>
#include <optional>

#include "kernel/concepts.h"

namespace poplarfront::retry {

struct retry_budget_options {
    /// Extra requests per primary while no failure is observed.
    double steady_ratio = 0.05;
    /// Extra requests per primary while failures are observed.
    double fault_ratio = 0.10;
    /// How long after a failure the fault ratio applies.
    kernel::duration fault_window = std::chrono::seconds{5};
    /// Most tokens that can be saved up.
    double burst = 10;
    /// Part of the burst that the budget starts with. An instance that restarts may have spent a
    /// whole burst just before.
    double initial_fraction = 1;
    /// Tokens that only replacements of lost requests may take.
    double reserve = 0;
    /// Without traffic one token returns per interval, up to a single one, so that the query of a
    /// quiet instance can still be retried once.
    kernel::duration idle_refill = std::chrono::seconds{10};
    /// Tokens that return each second, up to the burst, with or without traffic.
    double refill_per_second = 0;
};

/// Token budget for hedges and retries: each primary earns a fraction of a token and each extra
/// request takes one. Not thread-safe.
class retry_budget {
public:
    explicit retry_budget(retry_budget_options options = {})
        : options_(options), tokens_(options.burst * options.initial_fraction) {}

    /// Changes the most tokens that can be saved up, the reserve, and the tokens each second.
    void resize(double burst, double reserve, double refill_per_second) {
        options_.burst = burst;
        options_.reserve = reserve;
        options_.refill_per_second = refill_per_second;
        tokens_ = std::min(tokens_, burst);
    }

    /// Adds the tokens that are due to the time since the last call.
    void refill(kernel::time_point now) {
        if (refilled_at_) {
            const double seconds = std::chrono::duration<double>(now - *refilled_at_).count();
            tokens_ = std::min(options_.burst, tokens_ + seconds * options_.refill_per_second);
        }
        refilled_at_ = now;
    }

    /// Counts a primary request.
    void on_primary(kernel::time_point now) {
        const double earned = in_fault_window(now) ? options_.fault_ratio : options_.steady_ratio;
        tokens_ = std::min(options_.burst, tokens_ + earned);
    }

    /// Counts a failed attempt.
    void on_failure(kernel::time_point now) { failing_until_ = now + options_.fault_window; }

    /// Whether try_take() would succeed.
    [[nodiscard]] bool available(kernel::time_point now) const {
        return has_tokens(1 + options_.reserve, now);
    }

    /// Whether try_take_reserved() would succeed.
    [[nodiscard]] bool available_reserved(kernel::time_point now) const {
        return has_tokens(1, now);
    }

    /// Takes a token for one extra request. False if there is none above the reserve.
    bool try_take(kernel::time_point now) { return take_if_above(options_.reserve, now); }

    /// Takes a token for a request that replaces a lost one. False if there is none.
    bool try_take_reserved(kernel::time_point now) { return take_if_above(0, now); }

    [[nodiscard]] bool in_fault_window(kernel::time_point now) const {
        return now <= failing_until_;
    }

    [[nodiscard]] double tokens() const { return tokens_; }

    /// Whether at least a `part` of the burst is saved up.
    [[nodiscard]] bool is_filled_to(double part) const { return tokens_ >= part * options_.burst; }

private:
    [[nodiscard]] bool has_tokens(double needed, kernel::time_point now) const {
        // Sums of 0.05 fall short of 1 by rounding.
        constexpr double rounding = 1e-9;
        return tokens_ + rounding >= needed || refilled(now) >= 1;
    }

    bool take_if_above(double kept, kernel::time_point now) {
        if (!has_tokens(1 + kept, now)) {
            return false;
        }
        tokens_ = std::max(tokens_, refilled(now));
        tokens_ -= 1;
        idle_token_at_ = now + options_.idle_refill;
        return true;
    }

    /// The tokens due to idle time alone.
    [[nodiscard]] double refilled(kernel::time_point now) const {
        return now >= idle_token_at_ ? std::min(1.0, options_.burst) : 0;
    }

    retry_budget_options options_;
    double tokens_ = 0;
    kernel::time_point failing_until_ = kernel::time_point::min();
    kernel::time_point idle_token_at_ = kernel::time_point::max();
    std::optional<kernel::time_point> refilled_at_;
};

}  // namespace poplarfront::retry
