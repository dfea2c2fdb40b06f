#pragma once

#include <compare>
#include <cstdint>
#include <string>

#include "kernel/concepts.h"

namespace poplarfront::gateway {

/// A request of a client as far as decisions need it. Immutable.
struct client_request {
    /// The client's name of this attempt; unique.
    std::string id;
    std::string host;
    /// Path and query.
    std::string target;
    /// Equal for requests that are the same work for a backend server.
    std::uint64_t fingerprint = 0;
    kernel::time_point received{};
    /// How long the client waits, from `received` on; zero if it does not say.
    kernel::duration client_timeout{};
    friend auto operator<=>(const client_request&, const client_request&) = default;
};

}  // namespace poplarfront::gateway
