#pragma once

#include <algorithm>
#include <optional>

#include "kernel/concepts.h"
#include "retry/latency_quantile.h"

namespace poplarfront::gateway {

/// Latencies and client time-outs observed on one route. Not thread-safe.
class route_statistics {
public:
    /// Records the client time-out of a request on the route. Most clients start with the route's
    /// time-out less the time spent on connecting.
    void observe_client_timeout(kernel::duration client_timeout, kernel::duration route_timeout) {
        if (client_timeout <= route_timeout && route_timeout - client_timeout <= max_round_trip) {
            initial_client_timeout_ = std::max(initial_client_timeout_, route_timeout);
        }
        initial_client_timeout_ = std::max(initial_client_timeout_, client_timeout);
        const auto spent = initial_client_timeout_ - client_timeout;
        // A longer time was not spent on connecting but on earlier attempts of the client.
        if (spent > kernel::duration::zero() && spent <= max_round_trip) {
            round_trip_ = std::min(round_trip_.value_or(spent), spent);
        }
    }

    /// The shortest time that a client spent on connecting, inferred from the client time-outs. It
    /// is about one network round trip; absent until one was observed.
    [[nodiscard]] std::optional<kernel::duration> round_trip() const { return round_trip_; }

    void on_latency(kernel::duration latency) { latencies_.observe(latency); }

    /// How long ago the client sent its first attempt, judged by how much shorter the time-out of
    /// this attempt is than the one that clients start with.
    [[nodiscard]] kernel::duration elapsed_since_first_attempt(
        kernel::duration client_timeout) const {
        return std::max(kernel::duration::zero(), initial_client_timeout_ - client_timeout);
    }

    /// The median latency of attempts; `fallback` until enough latencies were observed.
    [[nodiscard]] kernel::duration median_latency(kernel::duration fallback) const {
        constexpr double median = 0.5;
        return latencies_.quantile(median).value_or(fallback);
    }

    /// The time after which an attempt counts as overdue and may be hedged: the quantile of the
    /// latencies, or `fallback` until enough were observed. It is bounded by a multiple of the
    /// median, because slow backend servers would otherwise raise it until no attempt is hedged.
    [[nodiscard]] kernel::duration hedge_delay(double quantile, kernel::duration fallback) const {
        // 2.5 medians, in integer arithmetic.
        constexpr int max_half_medians = 5;
        constexpr int halves_per_median = 2;
        const auto high = latencies_.quantile(quantile);
        return high ? std::min(*high,
                               median_latency(fallback) * max_half_medians / halves_per_median)
                    : fallback;
    }

private:
    static constexpr kernel::duration max_round_trip = std::chrono::milliseconds{25};

    kernel::duration initial_client_timeout_{};
    std::optional<kernel::duration> round_trip_;
    retry::latency_quantile latencies_;
};

}  // namespace poplarfront::gateway
