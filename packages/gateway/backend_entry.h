#pragma once

#include <compare>
#include <cstdint>
#include <string>

#include "kernel/concepts.h"
#include "model/identifier.h"

namespace poplarfront::gateway {

enum class backend_state { ready, draining };

/// A backend server as described by its registration. Immutable.
struct backend_entry {
    model::server_id id;
    model::service_id service;
    /// IP:PORT. Another backend server may use it after this one has left.
    std::string address;
    model::data_centre_id data_centre;
    /// Maximum number of requests that it executes concurrently.
    std::uint32_t capacity = 1;
    backend_state state = backend_state::ready;
    /// End of the warm-up after a start, during which requests take longer.
    kernel::time_point cold_until{};
    /// Start time of the process, in ms since the epoch; 0 if unknown. A backend server that
    /// restarts under the same id has a later one.
    std::int64_t started_ms = 0;
    /// Increases with each write of the registration by the same process; 0 if unknown.
    std::int64_t sequence = 0;
    friend auto operator<=>(const backend_entry&, const backend_entry&) = default;
};

}  // namespace poplarfront::gateway
