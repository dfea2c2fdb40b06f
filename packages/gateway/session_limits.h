#pragma once

#include <compare>
#include <cstdint>

#include "kernel/concepts.h"

namespace poplarfront::gateway {

/// What a session has to keep to.
struct session_limits {
    /// When a gather is answered with the parts that are there, if these suffice.
    kernel::time_point partial_deadline{};
    /// When the final answer is given.
    kernel::time_point final_deadline{};
    /// Backend servers that may get the request, for each shard.
    std::uint32_t max_attempts = 1;
    friend auto operator<=>(const session_limits&, const session_limits&) = default;
};

/// Where the shards of a gather are asked from.
enum class gather_location { local, delegated };

}  // namespace poplarfront::gateway
