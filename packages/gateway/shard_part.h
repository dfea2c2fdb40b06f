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
    /// The last backend server refused it for want of room, and it may be sent again.
    refused,
    failed,
};

/// One service that a request needs a reply of, and what has been tried for it. Belongs to one
/// request_session.
class shard_part {
public:
    model::service_id service;
    /// In the fleet view that the session holds. Never null.
    const backend_list* backends = nullptr;
    part_state state = part_state::open;
    /// Backend servers that have got the request.
    std::vector<model::server_id> tried;
    /// Backend servers that cannot get it, because they are not reached or are others than
    /// expected.
    std::vector<model::server_id> unreachable;
    /// Times that the request was sent, and how many of these were refused or did not arrive.
    std::uint32_t send_count = 0;
    std::uint32_t not_run_count = 0;
    std::uint32_t in_flight = 0;
    /// Whether a backend server may have run the request.
    bool may_have_run = false;
    /// When the attempts under way count as straggling.
    std::optional<kernel::time_point> overdue_at;
    std::optional<wait_list<traffic_state::waiter>::entry_id> entry_id;
    std::optional<backend_reply> reply;

    [[nodiscard]] bool was_tried(const model::server_id& server) const {
        return contains(tried, server);
    }
    [[nodiscard]] bool is_unreachable(const model::server_id& server) const {
        return contains(unreachable, server);
    }

    /// Takes the notice that an attempt did not reach `server`.
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

/// One request sent to a backend server.
struct backend_attempt {
    std::size_t part = 0;
    std::shared_ptr<const backend_entry> backend;
    kernel::time_point sent_at;
    bool open = true;
};

}  // namespace poplarfront::gateway
