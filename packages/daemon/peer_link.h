#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "daemon/instance_identity.h"
#include "runtime/peer_endpoint.h"
#include "wire/envelope.h"

namespace poplarfront::daemon {

/// Messages to and from other instances, by kind.
///
/// Thread safety: `on` is called while modules are created; `send` and `reconnect` may be called
/// from any thread. Handlers run on the first traffic thread and must not suspend.
class peer_link {
public:
    /// The envelope's deployment and protocol version are already checked.
    using handler = std::function<void(const wire::envelope&)>;

    struct counters {
        std::uint64_t refused = 0;
        std::uint64_t stale = 0;
        friend auto operator<=>(const counters&, const counters&) = default;
    };

    explicit peer_link(std::shared_ptr<const instance_identity> identity)
        : identity_(std::move(identity)) {}

    /// Precondition: the kind has no handler yet.
    void on(wire::message_kind kind, handler handler);

    /// Binds the peer address. Errors: runtime::listen_error.
    kernel::result<void> start(const std::shared_ptr<runtime::fiber_thread>& thread);
    void stop();

    /// Queues a message to the instance at IP:PORT; before the start it is dropped. There is no
    /// confirmation.
    void send(const std::string& address, wire::message_kind kind, std::string payload) {
        send(address, kind, identity_->incarnation_number, std::move(payload));
    }
    /// As above, under an incarnation that the membership has raised.
    void send(const std::string& address, wire::message_kind kind, model::incarnation incarnation,
              std::string payload);

    /// Opens a new connection to the instance at IP:PORT with the next message.
    void reconnect(const std::string& address);

    [[nodiscard]] counters count() const { return {refused_, stale_}; }
    [[nodiscard]] runtime::peer_endpoint::message_counters transport_counters() const;

private:
    void receive(const std::string& bytes);
    bool is_stale(const wire::envelope& message);

    std::shared_ptr<const instance_identity> identity_;
    std::map<wire::message_kind, handler> handlers_;
    /// The start of the newest process of each instance.
    std::map<model::instance_id, std::uint64_t> newest_;
    /// Null until started. Other threads read it before: the state can be asked for during a start,
    /// and a message can arrive as soon as the endpoint is bound.
    std::atomic<std::shared_ptr<runtime::peer_endpoint>> endpoint_;
    std::atomic<std::uint64_t> refused_ = 0;
    std::atomic<std::uint64_t> stale_ = 0;
};

}  // namespace poplarfront::daemon
