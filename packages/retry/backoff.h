#pragma once

#include <algorithm>
#include <cmath>
#include <cstdint>

#include "kernel/concepts.h"

namespace poplarfront::retry {

/// Exponential backoff with jitter. The delay doubles from `base_delay` up to `max_delay`, and its
/// upper half is random, so that callers that failed at the same time do not retry at the same
/// time. Immutable.
struct backoff {
    kernel::duration base_delay = std::chrono::milliseconds{2};
    kernel::duration max_delay = std::chrono::milliseconds{50};

    /// The delay before retry number `retry`, counted from 0.
    template <kernel::random_source Random>
    [[nodiscard]] kernel::duration delay(std::uint32_t retry, Random& random) const {
        constexpr std::uint32_t max_doublings = 20;
        const auto factor = std::int64_t{1} << std::min(retry, max_doublings);
        const auto capped = base_delay > max_delay / factor ? max_delay : base_delay * factor;
        const auto half = static_cast<double>(capped.count()) / 2;
        return kernel::duration{
            static_cast<kernel::duration::rep>(half + half * kernel::uniform_unit(random))};
    }

    friend auto operator<=>(const backoff&, const backoff&) = default;
};

}  // namespace poplarfront::retry
