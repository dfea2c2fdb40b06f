#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "gateway/route.h"

namespace poplarfront::gateway {

/// What the operators say of one service.
struct service_options {
    /// Connections that one of its backend servers accepts from all instances together.
    std::uint32_t max_connections = 1;
    friend auto operator<=>(const service_options&, const service_options&) = default;
};

/// What a client may send, and how long it may take.
struct client_limits {
    std::uint32_t max_header_bytes = 16 * 1024;
    std::uint32_t max_body_bytes = 256 * 1024;
    kernel::duration header_timeout = std::chrono::seconds{3};
    kernel::duration idle_timeout = std::chrono::seconds{15};
    friend auto operator<=>(const client_limits&, const client_limits&) = default;
};

/// One complete configuration. Immutable.
struct gateway_configuration {
    /// Rises with each change, in uneven steps.
    std::uint64_t version = 0;
    std::vector<route> routes;
    std::map<model::service_id, service_options> services;
    client_limits limits;
    friend bool operator==(const gateway_configuration&, const gateway_configuration&) = default;
};

}  // namespace poplarfront::gateway
