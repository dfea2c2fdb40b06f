#pragma once

#include <algorithm>
#include <concepts>
#include <cstdint>

#include "admission/aimd_limit.h"
#include "kernel/concepts.h"

namespace poplarfront::admission {

struct concurrency_limit_options {
    double initial = 20.0;
    double minimum = 1.0;
    double maximum = 1000.0;
    friend auto operator<=>(const concurrency_limit_options&,
                            const concurrency_limit_options&) = default;
};

/// Adapts the number of requests that may be under way at once to what the tier behind them
/// bears, from their latencies and sheds.
///
/// Thread safety: used on one thread.
template <limit_policy Policy = aimd_limit>
class concurrency_limit {
public:
    explicit concurrency_limit(concurrency_limit_options options = {}, Policy policy = Policy())
        : options_(options), policy_(policy), limit_(options.initial) {}

    /// Whether one more request may start.
    [[nodiscard]] bool has_room() const { return static_cast<double>(in_flight_) + 1.0 <= limit_; }

    void on_start() { ++in_flight_; }

    /// Precondition: a request that was started has ended, with its latency since the start.
    void on_end(const limit_sample& sample) {
        const auto next = policy_.next(limit_, in_flight_, sample);
        limit_ = std::clamp(next, options_.minimum, options_.maximum);
        --in_flight_;
    }

    /// Precondition: a request that was started has ended. The limit stays as it is.
    void on_end_without_sample() { --in_flight_; }

    /// Sets the highest limit; requests under way are not affected.
    void set_maximum(double maximum) {
        options_.maximum = std::max(maximum, options_.minimum);
        limit_ = std::min(limit_, options_.maximum);
    }

    [[nodiscard]] double limit() const { return limit_; }
    [[nodiscard]] std::uint32_t in_flight() const { return in_flight_; }

private:
    concurrency_limit_options options_;
    Policy policy_;
    double limit_;
    std::uint32_t in_flight_ = 0;
};

}  // namespace poplarfront::admission
