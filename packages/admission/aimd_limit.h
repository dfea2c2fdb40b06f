#pragma once

#include "admission/limit_policy.h"

namespace poplarfront::admission {

/// Additive increase by one per round trip while the limit is used, and multiplicative decrease,
/// at most once per round trip, after a shed or a latency above a bound.
///
/// A limit that follows the gradient of latencies was measured against it by
/// tools/admission_measure and gave less goodput at all loads; the figures are in the commit that
/// added both.
class aimd_limit {
public:
    /// Of 20, 30, 40 and 60 ms the bound with the most goodput under overload, at a mean execution
    /// of 5 ms.
    static constexpr kernel::duration default_latency_threshold = std::chrono::milliseconds{30};

    explicit aimd_limit(kernel::duration latency_threshold = default_latency_threshold)
        : longest_latency_(latency_threshold) {}

    double next(double limit, std::uint32_t in_flight, const limit_sample& sample);

private:
    kernel::duration longest_latency_;
    std::uint32_t since_decrease_ = 0;
};
static_assert(limit_policy<aimd_limit>);

}  // namespace poplarfront::admission
