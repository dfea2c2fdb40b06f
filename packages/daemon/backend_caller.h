#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>

#include "daemon/instance_identity.h"
#include "daemon/slot_gate.h"
#include "daemon/tier_state.h"
#include "model/action.h"
#include "model/backend.h"
#include "runtime/http_client.h"
#include "wire/backend_json.h"

namespace poplarfront::daemon {

/// Calls backend servers within this instance's part of their slots and connections.
///
/// Thread safety: used on fibers of one thread.
class backend_caller {
public:
    /// `threads` is the number of traffic threads that share the instance's part.
    backend_caller(std::shared_ptr<runtime::fiber_thread> thread,
                   std::shared_ptr<const instance_identity> identity, std::size_t threads);

    /// Executes an attempt. Suspends the fiber until the reply or the deadline. An attempt that is
    /// cancelled before it was sent is not sent.
    model::attempt_reply call(const model::shard_attempt& attempt, const tier_state& state);

    /// Ends an attempt early: one that waits is not sent, one that was sent is cancelled on the
    /// backend server.
    void cancel(const model::shard_attempt& attempt, const tier_state& state);

    /// Sends an action once. Suspends the fiber until the reply or the deadline.
    wire::backend_action_reply act(const model::action_request& action,
                                   const model::server_id& server, const tier_state& state);

    [[nodiscard]] runtime::http_client::call_counters transport_counters() const {
        return client_->counters();
    }

private:
    using attempt_key = std::pair<model::request_id, std::uint32_t>;

    struct server_access {
        std::string address;
        std::size_t connections = 1;
        std::shared_ptr<slot_gate> gate;
    };

    [[nodiscard]] std::optional<server_access> access(const model::server_id& server,
                                                      const tier_state& state);
    model::attempt_reply exchange(const model::shard_attempt& attempt, const server_access& server);

    std::shared_ptr<runtime::fiber_thread> thread_;
    std::shared_ptr<const instance_identity> identity_;
    std::size_t threads_;
    std::shared_ptr<runtime::http_client> client_;
    std::map<model::server_id, std::shared_ptr<slot_gate>> gates_;
    /// Attempts under way, and whether each was sent.
    std::map<attempt_key, bool> open_;
    std::set<attempt_key> cancelled_;
};

}  // namespace poplarfront::daemon
