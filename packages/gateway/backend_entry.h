#pragma once

#include <compare>
#include <cstdint>
#include <string>

#include "kernel/concepts.h"
#include "model/identifier.h"

namespace poplarfront::gateway {

enum class backend_state { ready, draining };

/// A backend server as its registration describes it. Immutable.
struct backend_entry {
    model::server_id id;
    model::service_id service;
    /// IP:PORT. Another backend server may get it once this one has left.
    std::string address;
    model::data_centre_id data_centre;
    /// Requests that it executes at once.
    std::uint32_t capacity = 1;
    backend_state state = backend_state::ready;
    /// Until then it works more slowly than later.
    kernel::time_point cold_until{};
    /// When its process started, in ms since the epoch; 0 if unknown. A backend server that starts
    /// again under the same id has a later one.
    std::int64_t started_ms = 0;
    /// Rises with each write of the registration by one process; 0 if unknown.
    std::int64_t sequence = 0;
    friend auto operator<=>(const backend_entry&, const backend_entry&) = default;
};

}  // namespace poplarfront::gateway
