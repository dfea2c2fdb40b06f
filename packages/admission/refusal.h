#pragma once

#include <compare>
#include <cstdint>
#include <string_view>

#include "kernel/concepts.h"

namespace poplarfront::admission {

/// Why a request was refused before anything of it was sent; in all cases it did not run.
enum class refusal_reason {
    /// It cannot get its turn before its deadline.
    no_time,
    /// Too many requests wait already.
    queue_full,
    /// The searcher has no share and there is no default share.
    no_share,
};
[[nodiscard]] std::string_view to_string(refusal_reason reason);

/// A request as admission sees it. `id` is chosen by the caller and unique among waiting requests.
struct admission_request {
    std::uint64_t id = 0;
    kernel::time_point deadline;
    /// In the units of the share rates.
    double cost = 1.0;
    friend auto operator<=>(const admission_request&, const admission_request&) = default;
};

/// A request that did not run.
struct refusal {
    std::uint64_t id = 0;
    refusal_reason reason = refusal_reason::no_time;
    friend auto operator<=>(const refusal&, const refusal&) = default;
};

}  // namespace poplarfront::admission
