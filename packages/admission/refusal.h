#pragma once

#include <compare>
#include <cstdint>
#include <string_view>

#include "kernel/concepts.h"

namespace poplarfront::admission {

/// Why a request was refused. Nothing of a refused request was sent, so it did not run.
enum class refusal_reason {
    /// It cannot end before its deadline.
    no_time,
    /// Too many requests are waiting already.
    queue_full,
    /// No share applies to the request, or its share was removed while it waited.
    no_share,
};
[[nodiscard]] std::string_view to_string(refusal_reason reason);

/// The properties of a request that admission needs. `id` is chosen by the caller and unique among
/// waiting requests.
struct admission_request {
    std::uint64_t id = 0;
    kernel::time_point deadline;
    /// How much of the rate of its share the request uses; 1 for an ordinary request.
    double cost = 1.0;
    friend auto operator<=>(const admission_request&, const admission_request&) = default;
};

/// A refused request, which did not run.
struct refusal {
    std::uint64_t id = 0;
    refusal_reason reason = refusal_reason::no_time;
    friend auto operator<=>(const refusal&, const refusal&) = default;
};

}  // namespace poplarfront::admission
