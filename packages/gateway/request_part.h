#pragma once

#include <algorithm>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "gateway/backend_reply.h"
#include "gateway/fleet_view.h"
#include "gateway/traffic_state.h"

namespace poplarfront::gateway {

enum class part_state {
    open,
    answered,
    /// The last backend server replied that it has not run the request; a retry is allowed.
    refused,
    /// The connection was lost while the request is under suspicion of crashing backend servers. It
    /// is retried if the trial succeeds.
    suspended,
    failed,
};

/// The part of a request that one service has to answer, with the state of its attempts. A gather
/// has one part per shard, other requests have a single part. Not thread-safe.
class request_part {
public:
    model::service_id service;
    /// Points into the fleet view that the session owns. Never null.
    const backend_list* backends = nullptr;
    part_state state = part_state::open;
    /// Whether the request was sent for this part, or waits for a free connection.
    bool started = false;
    /// Backend servers that the request was sent to, except unreachable ones.
    std::vector<model::server_id> tried;
    /// Backend servers that are not tried again, because they could not be reached or their address
    /// belongs to another backend server.
    std::vector<model::server_id> unreachable;
    /// Number of times that the request was sent.
    std::uint32_t send_count = 0;
    /// Number of sends that were refused or not delivered.
    std::uint32_t not_run_count = 0;
    /// Number of attempts without a result.
    std::uint32_t in_flight = 0;
    /// Whether a backend server may have run the request.
    bool may_have_run = false;
    /// When the attempts in flight count as overdue and may be hedged.
    std::optional<kernel::time_point> overdue_at;
    /// Set while the part waits for a free connection.
    std::optional<wait_list<traffic_state::waiter>::entry_id> wait_list_entry;
    std::optional<backend_reply> reply;

    [[nodiscard]] bool was_tried(const model::server_id& server) const {
        return contains(tried, server);
    }
    [[nodiscard]] bool is_unreachable(const model::server_id& server) const {
        return contains(unreachable, server);
    }

    /// Records that an attempt did not reach `server`, so that it does not count as tried.
    void on_unreachable(const model::server_id& server) {
        std::erase(tried, server);
        unreachable.push_back(server);
    }

private:
    static bool contains(const std::vector<model::server_id>& list,
                         const model::server_id& server) {
        return std::find(list.begin(), list.end(), server) != list.end();
    }
};

/// One attempt: the request of a part, sent to one backend server.
struct backend_attempt {
    std::size_t part = 0;
    std::shared_ptr<const backend_entry> backend;
    kernel::time_point sent_at;
    bool open = true;
    /// Whether the connection was lost while the backend server may have been executing the
    /// request, and it may have crashed.
    bool lost = false;
    /// Whether the backend server accepted a connection after it had lost one.
    bool accepts_connections = false;
    /// Whether the backend server has replied that it has executed the request.
    bool executed = false;
};

}  // namespace poplarfront::gateway
