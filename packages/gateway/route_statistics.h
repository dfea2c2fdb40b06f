#pragma once

#include <algorithm>
#include <optional>

#include "kernel/concepts.h"
#include "retry/latency_quantile.h"

namespace poplarfront::gateway {

/// What was observed of the requests of one route. Not thread-safe.
class route_statistics {
public:
    /// Takes the patience of a request on the route. Most clients start with the time that the
    /// route allows, less the time of connecting.
    void observe_client_timeout(kernel::duration client_timeout, kernel::duration route_timeout) {
        if (client_timeout <= route_timeout &&
            route_timeout - client_timeout <= longest_round_trip) {
            longest_patience_ = std::max(longest_patience_, route_timeout);
        }
        longest_patience_ = std::max(longest_patience_, client_timeout);
        const auto spent = longest_patience_ - client_timeout;
        // What is spent before a repeated attempt is longer than any round trip.
        if (spent > kernel::duration::zero() && spent <= longest_round_trip) {
            round_trip_ = std::min(round_trip_.value_or(spent), spent);
        }
    }

    /// The time that connecting takes from the client's patience, which is about one round trip;
    /// absent until a request has come on a new connection.
    [[nodiscard]] std::optional<kernel::duration> round_trip() const { return round_trip_; }

    void on_latency(kernel::duration latency) { latencies_.observe(latency); }

    /// How long before this attempt the client sent its first one: attempts after the first come
    /// with less patience than a client starts with.
    [[nodiscard]] kernel::duration elapsed_since_first_attempt(
        kernel::duration client_timeout) const {
        return std::max(kernel::duration::zero(), longest_patience_ - client_timeout);
    }

    /// The median latency of one attempt.
    [[nodiscard]] kernel::duration median_latency(kernel::duration unknown) const {
        constexpr double half = 0.5;
        return latencies_.quantile(half).value_or(unknown);
    }

    /// The time after which an attempt counts as straggling. It is bounded by a multiple of the
    /// median, because slow backend servers would else raise it until nothing straggles.
    [[nodiscard]] kernel::duration hedge_delay(double quantile, kernel::duration unknown) const {
        constexpr int most_medians = 5;
        constexpr int halves = 2;
        const auto high = latencies_.quantile(quantile);
        return high ? std::min(*high, median_latency(unknown) * most_medians / halves) : unknown;
    }

private:
    static constexpr kernel::duration longest_round_trip = std::chrono::milliseconds{25};

    kernel::duration longest_patience_{};
    std::optional<kernel::duration> round_trip_;
    retry::latency_quantile latencies_;
};

}  // namespace poplarfront::gateway
