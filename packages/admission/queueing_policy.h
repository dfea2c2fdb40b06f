#pragma once

#include <concepts>
#include <optional>

#include "kernel/concepts.h"

namespace poplarfront::admission {

/// Decides whether a request may be queued when its share lacks tokens.
template <class T>
concept queueing_policy = requires(double balance, double rate) {
    /// `balance` is the token balance of the share after the cost of the request was taken. Returns
    /// the time until the guaranteed rate covers the request, or nothing if it never does.
    { T::guaranteed_wait(balance, rate) } -> std::same_as<std::optional<kernel::duration>>;
    /// Whether a request that the guaranteed rate does not cover in time may wait for spare
    /// capacity.
    { T::uses_spare_capacity } -> std::convertible_to<bool>;
};

/// Lets the balance become negative: a request is queued if the missing tokens accrue in time. It
/// may start earlier if there is spare capacity.
///
/// tools/admission_measure compares it with a bucket that refuses requests when it is empty.
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
