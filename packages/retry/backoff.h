#pragma once

#include <algorithm>
#include <cmath>
#include <cstdint>

#include "kernel/concepts.h"

namespace poplarfront::retry {

/// Waiting times between tries: they double from `base_delay` up to `max_delay`, each with a random
/// part of one half, so that callers that failed together do not return together. Immutable.
struct backoff {
    kernel::duration base_delay = std::chrono::milliseconds{2};
    kernel::duration max_delay = std::chrono::milliseconds{50};

    /// The wait before try `step`, counted from 0.
    template <kernel::random_source Random>
    [[nodiscard]] kernel::duration delay(std::uint32_t step, Random& random) const {
        constexpr std::uint32_t max_doublings = 20;
        const auto factor = std::int64_t{1} << std::min(step, max_doublings);
        const auto full = base_delay > max_delay / factor ? max_delay : base_delay * factor;
        const auto part = static_cast<double>(full.count()) / 2;
        return kernel::duration{
            static_cast<kernel::duration::rep>(part + part * kernel::uniform_unit(random))};
    }

    friend auto operator<=>(const backoff&, const backoff&) = default;
};

}  // namespace poplarfront::retry
