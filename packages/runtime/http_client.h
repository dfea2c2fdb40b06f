#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "kernel/concepts.h"
#include "runtime/fiber_thread.h"
#include "runtime/http_types.h"

namespace poplarfront::runtime {

/// An HTTP client that reuses persistent connections and limits the number of connections to each
/// address.
///
/// Thread safety: `call` runs on fibers of the client's thread only; `counters` is not synchronised
/// with it.
class http_client {
public:
    struct call_counters {
        std::uint64_t connections_opened = 0;
        /// Connections whose exchange failed, also by a time-out or an invalid response.
        std::uint64_t connections_lost = 0;
        std::uint64_t calls = 0;
        friend auto operator<=>(const call_counters&, const call_counters&) = default;
    };

    static std::shared_ptr<http_client> create(std::shared_ptr<fiber_thread> thread);

    ~http_client();
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;

    /// Sends a request to `address` (IP:PORT) and waits for its response until `deadline`. Waits
    /// for a free connection while `max_connections` connections to the address are in use.
    call_result call(const std::string& address, const http_request& request,
                     kernel::time_point deadline, std::size_t max_connections);

    /// Closes the connections of all calls in progress. Calls that are connecting end as
    /// `not_sent`, the others as `connection_lost`; calls that wait for a free connection continue.
    /// Must run on the client's thread.
    void cancel_calls();
    /// As cancel_calls; also, later calls and those that would open a connection end as `not_sent`.
    /// Used when the process stops. Must run on the client's thread.
    void abort();

    [[nodiscard]] call_counters counters() const;

private:
    class implementation;
    explicit http_client(std::unique_ptr<implementation> implementation);

    std::unique_ptr<implementation> implementation_;
};

}  // namespace poplarfront::runtime
