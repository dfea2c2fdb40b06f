#pragma once

#include "admission/limit_policy.h"

namespace poplarfront::admission {

/// Additive increase, multiplicative decrease: the limit grows by one per round trip while at least
/// half of it is used, and shrinks at most once per round trip after a shed request or a latency
/// above a threshold. A round trip is as many ended requests as are in flight.
///
/// A limit that follows the gradient of latencies gives less goodput at all loads;
/// tools/admission_measure compares them.
class aimd_limit {
public:
    /// Suits a mean execution time of 5 ms; 20, 40 and 60 ms give less goodput under overload.
    static constexpr kernel::duration default_latency_threshold = std::chrono::milliseconds{30};

    explicit aimd_limit(kernel::duration latency_threshold = default_latency_threshold)
        : latency_threshold_(latency_threshold) {}

    double next(double limit, std::uint32_t in_flight, const limit_sample& sample);

private:
    kernel::duration latency_threshold_;
    std::uint32_t samples_since_decrease_ = 0;
};
static_assert(limit_policy<aimd_limit>);

}  // namespace poplarfront::admission
