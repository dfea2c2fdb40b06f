#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "kernel/result.h"
#include "runtime/fiber_thread.h"
#include "runtime/http_server.h"

namespace poplarfront::runtime {

/// Maximum size in bytes of a message between instances. Senders divide what may be larger.
inline constexpr std::size_t max_peer_message_bytes = std::size_t{4} * 1024 * 1024;

/// Sends and receives messages between instances, with one ZeroMQ ROUTER socket that receives and
/// one DEALER socket for each instance that messages are sent to. Messages may be lost or delayed.
///
/// Thread safety: `send`, `reconnect` and `counters` may be called from any thread; the receiver
/// runs on the endpoint's thread and must not suspend. `stop` must be called from another thread.
class peer_endpoint {
public:
    using receiver = std::function<void(std::string bytes)>;

    struct message_counters {
        std::uint64_t sent = 0;
        std::uint64_t sent_bytes = 0;
        std::uint64_t received = 0;
        std::uint64_t received_bytes = 0;
        /// Messages that were not queued because the peer's queue was full, its address was invalid
        /// or no further socket could be opened.
        std::uint64_t dropped = 0;
        /// Messages that were not queued because they exceed max_peer_message_bytes.
        std::uint64_t oversized = 0;
        friend auto operator<=>(const message_counters&, const message_counters&) = default;
    };

    /// Binds to `address` (IP:PORT).
    /// Errors: listen_error.
    static kernel::result<std::shared_ptr<peer_endpoint>> create(
        std::shared_ptr<fiber_thread> thread, const std::string& address, receiver receiver);

    ~peer_endpoint();
    peer_endpoint(const peer_endpoint&) = delete;
    peer_endpoint& operator=(const peer_endpoint&) = delete;

    /// Queues a message for the instance at `address` and returns immediately. Delivery is not
    /// confirmed. A message of more than max_peer_message_bytes, which the receiver would refuse,
    /// is logged, counted and dropped.
    void send(const std::string& address, std::string bytes);

    /// Closes the connection to an instance and discards the messages queued for it; the next
    /// message opens a new connection. Needed because a connection can stop delivering messages
    /// without reporting an error.
    void reconnect(const std::string& address);

    [[nodiscard]] message_counters counters() const;

    /// Closes the sockets. Continues to send queued messages for up to 200 ms, so that the notice
    /// that this instance is leaving can still be sent.
    void stop();

private:
    class implementation;
    explicit peer_endpoint(std::shared_ptr<implementation> implementation);

    std::shared_ptr<implementation> implementation_;
};

}  // namespace poplarfront::runtime
