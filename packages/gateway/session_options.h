#pragma once

#include <cstdint>
#include <string>

#include "kernel/concepts.h"

namespace poplarfront::gateway {

/// Parameters of the gateway's decisions. Some of them come from the settings.
struct session_options {
    /// Lower bound of how long before the objective an incomplete gather is answered.
    kernel::duration answer_margin = std::chrono::milliseconds{10};
    /// Network round trip to clients that is assumed until one is observed. Clients on open
    /// connections show none, and in a large fleet an instance serves few others.
    kernel::duration assumed_round_trip = std::chrono::milliseconds{6};
    /// Delay that an instance cannot observe, of requests before they are read and of answers after
    /// they are written. At small instances clients observe about 9 ms more than the instance, of
    /// which 6 ms are the network round trip.
    kernel::duration unobserved_delay = std::chrono::milliseconds{4};
    /// Time between the final deadline and the earlier of the client's time-out and the route's.
    kernel::duration final_deadline_margin = std::chrono::milliseconds{4};
    /// The quantile of a route's latencies after which an attempt is hedged.
    double hedge_quantile = 0.93;
    kernel::duration min_hedge_delay = std::chrono::milliseconds{4};
    /// Extra requests (hedges and retries) per request for a service. The platform allows 0.2.
    double extra_ratio = 0.18;
    /// Extra requests beyond the ratio that the platform allows in one window, for each service and
    /// all instances together.
    double extra_slack = 100;
    /// Fraction of the slack that the instances share out. The rest is a reserve for the time in
    /// which new instances are not yet known to all others.
    double extra_slack_fraction = 0.7;
    /// Fraction of an instance's share of the slack that is the burst of its budget. The rest is
    /// refilled over the window, so that instances with few requests can hedge too.
    double burst_fraction = 0.7;
    /// The window to which the slack applies.
    kernel::duration extra_window = std::chrono::seconds{10};
    /// Fraction of the burst that is available right after the start of an instance. All instances
    /// may restart within one window, in which the extra requests from before and after the restart
    /// both count.
    double initial_token_fraction = 0.4;
    /// Fraction of the burst that is reserved for requests which would fail without it.
    double reserve_fraction = 0.2;
    /// How long a gather collects refusals before it decides which parts to retry. Refusals arrive
    /// within a few ms. A gather that cannot reach its minimum coverage any more then leaves the
    /// budget to other requests.
    kernel::duration refusal_collection_time = std::chrono::milliseconds{6};
    /// Fill level of a budget, as a fraction of its burst, from which it also pays for retries of
    /// parts that are not needed for the minimum coverage.
    double optional_retry_min_fill = 0.5;
    /// Fraction of a backend server's connections that the instances share out.
    double connection_fraction = 0.9;
    /// Maximum number of connections of one instance to one backend server.
    std::uint32_t max_connections_per_backend = 4;
    /// Cost of a backend server in another data centre, relative to one in the same data centre. A
    /// single late reply of the near one must not outweigh it.
    double remote_cost = 4;
    /// Cost of a backend server during its warm-up, relative to one after it.
    double cold_cost = 1.6;
    /// Delay from the client's disconnection until its attempts are cancelled. Cancelling an
    /// attempt closes its connection, so that the backend server has to accept a new one.
    kernel::duration cancel_delay = std::chrono::milliseconds{250};
    /// Minimum of the random delay after which a client may retry a refused request.
    kernel::duration min_retry_after = std::chrono::milliseconds{50};
    /// Maximum of that delay.
    kernel::duration max_retry_after = std::chrono::milliseconds{250};
    /// Minimum of how late a delegate's report may be before the delegate counts as failed: several
    /// times the network delay between data centres and the scheduling delay of a busy processor.
    kernel::duration min_report_tolerance = std::chrono::milliseconds{15};
    /// Maximum number of delegated gathers that an instance runs at the same time.
    std::size_t max_delegated_gathers = 32;
    /// Name of the data centre of this instance.
    std::string data_centre;
};

}  // namespace poplarfront::gateway
