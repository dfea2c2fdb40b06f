#pragma once

#include <compare>
#include <cstdint>
#include <string>

#include "kernel/concepts.h"

namespace poplarfront::gateway {

/// The data of a client's request that routing and retry decisions use. Immutable.
struct client_request {
    /// Unique id of the request, chosen by the client. A retry by the client has another id.
    std::string id;
    std::string host;
    /// Path and query.
    std::string target;
    /// Equal for requests that cause the same work at a backend server.
    std::uint64_t fingerprint = 0;
    kernel::time_point received{};
    /// How long the client waits, counted from `received`; zero if the client does not state it.
    kernel::duration client_timeout{};
    friend auto operator<=>(const client_request&, const client_request&) = default;
};

}  // namespace poplarfront::gateway
