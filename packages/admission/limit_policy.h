#pragma once

#include <concepts>
#include <cstdint>

#include "kernel/concepts.h"

namespace poplarfront::admission {

/// How one request ended.
struct limit_sample {
    kernel::duration latency{0};
    /// Refused or timed out by the tier behind, because of load.
    bool shed = false;
    friend auto operator<=>(const limit_sample&, const limit_sample&) = default;
};

/// Computes the next limit from the present one, the requests under way and the latest sample.
template <class T>
concept limit_policy = requires(T& policy, double limit, std::uint32_t in_flight,
                                const limit_sample& sample) {
    { policy.next(limit, in_flight, sample) } -> std::same_as<double>;
};

}  // namespace poplarfront::admission
