#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "gateway/route.h"

namespace poplarfront::gateway {

/// Settings of one service.
struct service_options {
    /// Number of connections that each of its backend servers accepts from all instances together.
    std::uint32_t max_connections = 1;
    friend auto operator<=>(const service_options&, const service_options&) = default;
};

/// Limits on the size and duration of clients' requests.
struct client_limits {
    std::uint32_t max_header_bytes = 16 * 1024;
    std::uint32_t max_body_bytes = 256 * 1024;
    kernel::duration header_timeout = std::chrono::seconds{3};
    kernel::duration idle_timeout = std::chrono::seconds{15};
    friend auto operator<=>(const client_limits&, const client_limits&) = default;
};

/// One complete configuration. Immutable.
struct gateway_configuration {
    /// Increases with each change; versions may be skipped.
    std::uint64_t version = 0;
    std::vector<route> routes;
    std::map<model::service_id, service_options> services;
    client_limits limits;
    friend bool operator==(const gateway_configuration&, const gateway_configuration&) = default;
};

}  // namespace poplarfront::gateway
