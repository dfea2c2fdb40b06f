#pragma once

#include <concepts>
#include <cstdint>

#include "kernel/concepts.h"

namespace poplarfront::admission {

/// The outcome of one request.
struct limit_sample {
    kernel::duration latency{0};
    /// Refused or timed out downstream because of load.
    bool shed = false;
    friend auto operator<=>(const limit_sample&, const limit_sample&) = default;
};

/// Computes the next limit from the current one, the number of requests in flight and the latest
/// sample.
template <class T>
concept limit_policy = requires(T& policy, double limit, std::uint32_t in_flight,
                                const limit_sample& sample) {
    { policy.next(limit, in_flight, sample) } -> std::same_as<double>;
};

}  // namespace poplarfront::admission
