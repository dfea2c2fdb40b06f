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
    /// Time without contact after which a suspect instance, or a leaving one that does not reply,
    /// becomes failed.
    kernel::duration suspicion_timeout = std::chrono::seconds{3};
    /// Number of instances that are asked to probe an instance that has not replied.
    std::size_t indirect_probes = 3;
    /// Number of peers that a push, or the announcement of a new process, is sent to; 0: no pushes.
    std::size_t push_fanout = 4;
    /// Updates that arrive within this time are sent in one push.
    kernel::duration push_delay = std::chrono::milliseconds{20};
    /// Number of pushes in a burst, and the interval after which one more is allowed. With messages
    /// of at most max_message_bytes, an instance sends less than 6 KB/s averaged over minutes,
    /// however many changes there are.
    std::uint32_t push_burst = 8;
    kernel::duration push_refill_interval = std::chrono::seconds{4};
    /// The same for urgent updates, which must reach every instance within 2 s: leaving instances,
    /// draining backend servers, quarantined queries, and refutations by this instance. They have a
    /// limit of their own so that suspicions and failures of other instances cannot exhaust it.
    std::uint32_t urgent_push_burst = 32;
    kernel::duration urgent_push_refill_interval = std::chrono::seconds{2};
    std::size_t max_message_bytes = 900;
    /// An update is sent at most this many times bit_width(table size), which is the logarithm
    /// (base 2) rounded down, plus 1.
    std::uint32_t retransmit_factor = 2;
    /// Number of random rows added to each message, which repair lost updates.
    std::size_t refresh_rows = 2;
    /// One failed instance is contacted after this many exchanges, so that the end of a network
    /// partition is detected; 0: never.
    std::uint32_t exchanges_per_reconnect = 8;
    /// Time after which a failed row is purged. Longer than the hour for which a data centre may be
    /// unreachable.
    kernel::duration failed_retention = std::chrono::hours{2};
    std::size_t max_failed_rows = 4096;
    std::size_t max_draining_servers = 4096;
    std::size_t max_quarantined_queries = 4096;
    friend auto operator<=>(const member_options&, const member_options&) = default;
};

/// Counters of a member_table since its creation.
struct member_counters {
    /// Messages from older incarnations of their senders.
    std::uint64_t stale_messages = 0;
    /// Updates about older incarnations.
    std::uint64_t stale_updates = 0;
    /// Probes of other instances that ended in a suspicion, also of those already suspect.
    std::uint64_t suspicions = 0;
    /// Rows that this instance itself set to failed.
    std::uint64_t failures = 0;
    /// Suspicions and failures of this instance that it refuted.
    std::uint64_t refutations = 0;
    /// Messages sent by pushes.
    std::uint64_t pushes = 0;
    friend auto operator<=>(const member_counters&, const member_counters&) = default;
};

}  // namespace poplarfront::membership
