#pragma once

#include "gateway/route.h"

namespace poplarfront::gateway {

/// The service of a split that the number `point` in [0, 1) falls to, each with a range as wide as
/// its part of the weights. Parts without weight get nothing. Thread-safe.
/// Precondition: the split has parts.
[[nodiscard]] inline const model::service_id& choose_weighted(const weighted_split& split,
                                                              double point) {
    double total = 0;
    for (const auto& it : split.parts) {
        total += it.weight;
    }
    double rest = point * total;
    for (const auto& it : split.parts) {
        if (rest < it.weight) {
            return it.service;
        }
        rest -= it.weight;
    }
    return split.parts.back().service;
}

}  // namespace poplarfront::gateway
