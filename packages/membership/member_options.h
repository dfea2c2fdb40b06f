#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

#include "kernel/concepts.h"

namespace poplarfront::membership {

/// Intervals, timeouts and limits of a member_table.
struct member_options {
    kernel::duration exchange_period = std::chrono::seconds{1};
    kernel::duration reply_timeout = std::chrono::milliseconds{500};
    /// Includes the reply timeout of the instance that probes and the round trip to it.
    kernel::duration indirect_probe_timeout = std::chrono::milliseconds{1000};
    /// Time from suspect to failed, unless the suspicion is refuted.
    kernel::duration suspicion_timeout = std::chrono::seconds{3};
    /// Number of instances that are asked to probe an instance that has not replied.
    std::size_t indirect_probes = 3;
    /// Number of peers that a push is sent to.
    std::size_t push_fanout = 4;
    /// Updates that arrive within this time are sent in one push.
    kernel::duration push_delay = std::chrono::milliseconds{20};
    /// Number of pushes in a burst, and the interval after which one more is allowed. With messages
    /// of at most max_message_bytes, an instance sends less than 6 KB/s averaged over minutes,
    /// however many changes there are.
    std::uint32_t push_burst = 8;
    kernel::duration push_refill_interval = std::chrono::seconds{4};
    /// The same for urgent updates, which must reach every instance within 2 s: leaving instances,
    /// draining backend servers, quarantined queries, and refutations. They have a limit of their
    /// own so that suspicions and failures of other instances cannot exhaust it.
    std::uint32_t urgent_push_burst = 32;
    kernel::duration urgent_push_refill_interval = std::chrono::seconds{2};
    std::size_t max_message_bytes = 900;
    /// An update is sent this many times the logarithm (base 2) of the table size.
    std::uint32_t retransmit_factor = 2;
    /// Number of random rows added to each message, which repair lost updates.
    std::size_t refresh_rows = 2;
    /// One failed instance is contacted after this many exchanges, so that the end of a network
    /// partition is detected; 0: never.
    std::uint32_t exchanges_per_reconnect = 8;
    /// Longer than the hour for which a region may be unreachable.
    kernel::duration failed_retention = std::chrono::hours{2};
    std::size_t max_failed_rows = 4096;
    std::size_t max_draining_servers = 4096;
    std::size_t max_quarantined_queries = 4096;
    friend auto operator<=>(const member_options&, const member_options&) = default;
};

/// Counters of a member_table since its creation.
struct member_counters {
    std::uint64_t stale_messages = 0;
    std::uint64_t stale_updates = 0;
    std::uint64_t suspicions = 0;
    std::uint64_t failures = 0;
    std::uint64_t refutations = 0;
    std::uint64_t pushes = 0;
    friend auto operator<=>(const member_counters&, const member_counters&) = default;
};

}  // namespace poplarfront::membership
