#pragma once

#include "gateway/route.h"

namespace poplarfront::gateway {

/// Maps `point` in [0, 1) to a service of the split. Each service covers a range in proportion to
/// its weight, so that a service of weight 0 is not chosen, except that rounding may choose the
/// last one. Thread-safe.
/// Precondition: the split is not empty.
[[nodiscard]] inline const model::service_id& choose_weighted(const weighted_split& split,
                                                              double point) {
    double total = 0;
    for (const auto& it : split.parts) {
        total += it.weight;
    }
    double remaining = point * total;
    for (const auto& it : split.parts) {
        if (remaining < it.weight) {
            return it.service;
        }
        remaining -= it.weight;
    }
    return split.parts.back().service;
}

}  // namespace poplarfront::gateway
