#pragma once

#include "gateway/route.h"

namespace poplarfront::gateway {

/// Maps `point` in [0, 1) to a service of the split. Each service covers a range in proportion to
/// its weight, so that a service of weight 0 is not chosen unless all have this weight.
/// Thread-safe. Precondition: the split is not empty.
[[nodiscard]] inline const model::service_id& choose_weighted(const weighted_split& split,
                                                              double point) {
    double total = 0;
    for (const auto& it : split.parts) {
        total += it.weight;
    }
    double remaining = point * total;
    // Rounding may leave a rest after the last part, which belongs to the last one with a weight.
    const auto* chosen = &split.parts.back();
    for (const auto& it : split.parts) {
        if (remaining < it.weight) {
            return it.service;
        }
        remaining -= it.weight;
        chosen = it.weight > 0 ? &it : chosen;
    }
    return chosen->service;
}

}  // namespace poplarfront::gateway
