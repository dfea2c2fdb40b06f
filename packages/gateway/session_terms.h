#pragma once

#include <compare>
#include <cstdint>

#include "kernel/concepts.h"

namespace poplarfront::gateway {

/// What a session has to keep to.
struct session_terms {
    /// When a gather is answered with the parts that are there, if these suffice.
    kernel::time_point answer_at{};
    /// When the final answer is given.
    kernel::time_point ends_at{};
    /// Backend servers that may get the request, for each shard.
    std::uint32_t max_attempts = 1;
    friend auto operator<=>(const session_terms&, const session_terms&) = default;
};

/// Where the shards of a gather are asked from.
enum class gather_place { here, at_gatherer };

}  // namespace poplarfront::gateway
