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

enum class part_state { open, answered, failed };

/// One service that a request needs a reply of, and what has been tried for it. Belongs to one
/// request_session.
struct shard_part {
    model::service_id service;
    /// In the fleet view that the session holds. Never null.
    const backend_list* backends = nullptr;
    part_state state = part_state::open;
    /// Backend servers that have got the request.
    std::vector<model::server_id> tried;
    std::uint32_t attempts = 0;
    std::uint32_t under_way = 0;
    /// Whether a backend server may have run the request.
    bool may_have_run = false;
    std::optional<kernel::time_point> hedge_at;
    std::optional<wait_list<traffic_state::waiter>::ticket> ticket;
    std::optional<backend_reply> reply;

    [[nodiscard]] bool was_tried(const model::server_id& server) const {
        return std::find(tried.begin(), tried.end(), server) != tried.end();
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
