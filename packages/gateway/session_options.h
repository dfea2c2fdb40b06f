#pragma once

#include <cstdint>
#include <string>

#include "kernel/concepts.h"

namespace poplarfront::gateway {

/// Times and limits of the gateway's decisions. Durations are from the settings.
struct session_options {
    /// How long before the objective an incomplete gather is answered, until the way to the client
    /// and the time of an answer are known.
    kernel::duration answer_margin = std::chrono::milliseconds{10};
    /// What a request waits before it is read and an answer after it is written, which an instance
    /// does not see: clients measured 9 ms more than small instances did, of which 6 ms were the
    /// way.
    kernel::duration unobserved_delay = std::chrono::milliseconds{4};
    /// How long before the end of the client's patience the final answer is given.
    kernel::duration final_deadline_margin = std::chrono::milliseconds{4};
    /// The quantile of a route's latencies after which a second copy is sent.
    double hedge_quantile = 0.93;
    kernel::duration min_hedge_delay = std::chrono::milliseconds{4};
    /// Extra requests per request for a service, below the 0.2 that the platform allows.
    double extra_ratio = 0.18;
    /// Extra requests in one window that the platform allows beyond the ratio, for all instances.
    double extra_slack = 100;
    /// Part of the slack that the instances divide among themselves; the rest is kept for instances
    /// that do not know of each other yet.
    double extra_slack_fraction = 0.7;
    /// Part of an instance's share of the slack that can be saved up. The rest returns over the
    /// window, so that instances with few requests can hedge too.
    double burst_fraction = 0.7;
    /// The window of the slack.
    kernel::duration extra_window = std::chrono::seconds{10};
    /// Part of what can be saved up that an instance may use right after its start. All
    /// instances may restart within one window, and then both shares count.
    double initial_token_fraction = 0.4;
    /// Part of an instance's share of the slack that is kept for requests which would else fail.
    double reserve_fraction = 0.2;
    /// How long a gather collects refusals before it decides which parts are sent again. Refusals
    /// come within a few ms; a gather that cannot succeed then leaves the budget to others.
    kernel::duration refusal_collection_time = std::chrono::milliseconds{6};
    /// Part of the largest saving from which a budget also pays for parts that an answer can do
    /// without.
    double optional_retry_min_fill = 0.5;
    /// Part of a backend server's connections that the instances divide among themselves.
    double connection_fraction = 0.9;
    /// Most connections of one instance to one backend server.
    std::uint32_t max_connections_per_backend = 4;
    /// Cost of a backend server in another data centre, relative to a near one.
    double remote_cost = 2;
    /// Cost of a backend server that has just started, relative to a warm one.
    double cold_cost = 1.6;
    /// After the client has left, work that ends within this time is not broken off, since closing
    /// a connection costs the backend server a new one.
    kernel::duration cancel_delay = std::chrono::milliseconds{250};
    /// Range of the time after which a client may come again.
    kernel::duration min_retry_after = std::chrono::milliseconds{50};
    kernel::duration max_retry_after = std::chrono::milliseconds{250};
    /// How much later than expected a report of a delegate may arrive, at least. It is several
    /// times the way between data centres and a turn of a busy processor.
    kernel::duration min_report_tolerance = std::chrono::milliseconds{15};
    /// Gathers for other instances that an instance has under way at most.
    std::size_t max_delegated_gathers = 32;
    /// Name of the data centre of this instance.
    std::string data_centre;
};

}  // namespace poplarfront::gateway
