#pragma once

#include <chrono>
#include <concepts>
#include <cstdint>

namespace poplarfront::kernel {

using duration = std::chrono::steady_clock::duration;
using time_point = std::chrono::steady_clock::time_point;

/// A monotonic clock. Tests use a `manual_clock`.
template <class T>
concept clock_source = requires(const T& clock) {
    { clock.now() } -> std::same_as<time_point>;
};

/// A source of uniformly distributed 64-bit numbers. Tests use a seeded generator.
template <class T>
concept random_source = requires(T& random) {
    { random.next() } -> std::same_as<std::uint64_t>;
};

/// A random number in [0, bound). Precondition: bound > 0.
template <random_source Random>
std::uint64_t uniform_below(Random& random, std::uint64_t bound) {
    return random.next() % bound;
}

/// A random number in [0, 1) with a resolution of 53 bits.
template <random_source Random>
double uniform_unit(Random& random) {
    constexpr double two_to_minus_53 = 1.0 / 9007199254740992.0;
    return static_cast<double>(random.next() >> 11U) * two_to_minus_53;
}

}  // namespace poplarfront::kernel
