#pragma once

#include <chrono>
#include <compare>
#include <cstddef>

#include "kernel/concepts.h"

namespace poplarfront::proxy {

/// Limits of the connections of one traffic thread to backend servers.
struct backend_pool_options {
    kernel::duration connect_timeout = std::chrono::milliseconds{250};
    /// Time after its deadline at which a call without a reply is ended. A reply that is sent right
    /// at the deadline still arrives in this time.
    kernel::duration reply_grace_period = std::chrono::milliseconds{30};
    /// Idle timeout of a connection if the backend server's `Keep-Alive` field gives none.
    kernel::duration default_idle_timeout = std::chrono::milliseconds{900};
    /// Subtracted from the idle timeout that the backend server's `Keep-Alive` field gives.
    kernel::duration idle_timeout_margin = std::chrono::milliseconds{500};
    /// Interval at which idle connections are checked for input, which belongs to no request, and
    /// for the end of their idle timeout.
    kernel::duration idle_check_interval = std::chrono::milliseconds{500};
    /// Interval at which calls are checked for expired deadlines.
    kernel::duration deadline_check_interval = std::chrono::milliseconds{25};
    std::size_t max_reply_body_bytes = std::size_t{4} * 1024 * 1024;
    /// Limit of the body of a part of a gather, which holds the records of one shard.
    std::size_t max_part_body_bytes = std::size_t{1} * 1024 * 1024;
    /// Limit of the bodies of all replies that are being received.
    std::size_t max_incomplete_reply_bytes = std::size_t{16} * 1024 * 1024;
    friend auto operator<=>(const backend_pool_options&, const backend_pool_options&) = default;
};

}  // namespace poplarfront::proxy
