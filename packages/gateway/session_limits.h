#pragma once

#include <compare>
#include <cstdint>

#include "kernel/concepts.h"

namespace poplarfront::gateway {

/// The deadlines and the maximum of attempts of a request.
struct session_limits {
    /// When a gather is answered with the parts received so far, if these reach the minimum
    /// coverage.
    kernel::time_point partial_deadline{};
    /// When the request is answered in any case.
    kernel::time_point final_deadline{};
    /// Maximum number of backend servers that get the request, for each shard.
    std::uint32_t max_attempts = 1;
    friend auto operator<=>(const session_limits&, const session_limits&) = default;
};

/// Where a gather runs: on this instance, or on a delegate.
enum class gather_location { local, delegated };

}  // namespace poplarfront::gateway
