#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

#include "kernel/concepts.h"

namespace poplarfront::membership {

/// The times and limits of a member_table.
struct member_options {
    kernel::duration exchange_period = std::chrono::seconds{1};
    kernel::duration reply_timeout = std::chrono::milliseconds{500};
    /// Covers the reply limit of the instance that probes, and the way to it and back.
    kernel::duration indirect_probe_timeout = std::chrono::milliseconds{1000};
    /// From suspect to failed, unless refuted.
    kernel::duration suspicion_timeout = std::chrono::seconds{3};
    std::size_t indirect_probes = 3;
    /// Peers that urgent news is pushed to at once.
    std::size_t push_fanout = 4;
    /// Urgent news that arrives within this time shares one push.
    kernel::duration push_delay = std::chrono::milliseconds{20};
    /// Pushes in a row, and the time after which one more is allowed. With messages of at most
    /// max_message_bytes an instance sends less than 6 KB/s over minutes, however much changes.
    std::uint32_t push_burst = 8;
    kernel::duration push_refill_interval = std::chrono::seconds{4};
    /// The same for news that must be known everywhere within 2 s: leaving instances, draining
    /// backend servers, quarantined queries, and refutations. Suspicions and failures of other
    /// instances must not use up its allowance.
    std::uint32_t urgent_push_burst = 32;
    kernel::duration urgent_push_refill_interval = std::chrono::seconds{2};
    std::size_t max_message_bytes = 900;
    /// News is sent this many times the logarithm (base 2) of the table size.
    std::uint32_t retransmit_factor = 2;
    /// Rows sent without news, so that lost updates are made good.
    std::size_t refresh_rows = 2;
    /// A failed row is contacted every this many exchanges, so that a healed partition is noticed;
    /// 0: never.
    std::uint32_t exchanges_per_reconnect = 8;
    /// Longer than the hour for which a region may lose contact.
    kernel::duration failed_retention = std::chrono::hours{2};
    std::size_t max_failed_rows = 4096;
    std::size_t max_draining_servers = 4096;
    std::size_t max_quarantined_queries = 4096;
    friend auto operator<=>(const member_options&, const member_options&) = default;
};

/// What a member_table has counted since it was created.
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
