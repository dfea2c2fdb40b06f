#pragma once

#include <concepts>
#include <optional>

#include "kernel/concepts.h"

namespace poplarfront::admission {

/// Decides what becomes of a request whose cost takes a share's balance to `balance`: the time
/// until its guaranteed turn, or nothing if it has none.
template <class T>
concept queueing_policy = requires(double balance, double rate) {
    { T::guaranteed_wait(balance, rate) } -> std::same_as<std::optional<kernel::duration>>;
    /// Whether a request without a guaranteed turn may still wait for spare capacity.
    { T::uses_spare_capacity } -> std::convertible_to<bool>;
};

/// Lets the balance become negative: the request waits until the deficit is earned.
///
/// A bucket that refuses when it is empty was measured against it by tools/admission_measure; the
/// figures are in the commit that added both.
struct queue_on_deficit {
    static constexpr bool uses_spare_capacity = true;

    static std::optional<kernel::duration> guaranteed_wait(double balance, double rate) {
        if (balance >= 0) {
            return kernel::duration::zero();
        }
        if (rate <= 0) {
            return std::nullopt;
        }
        return std::chrono::duration_cast<kernel::duration>(
            std::chrono::duration<double>(-balance / rate));
    }
};
static_assert(queueing_policy<queue_on_deficit>);

}  // namespace poplarfront::admission
