#pragma once

#include <random>

#include "kernel/concepts.h"

namespace poplarfront::kernel {

/// The operating system's monotonic clock. Thread-safe.
class steady_clock_source {
public:
    [[nodiscard]] time_point now() const { return std::chrono::steady_clock::now(); }
};

/// A seeded generator; equal seeds give equal sequences. Not thread-safe.
class seeded_random_source {
public:
    explicit seeded_random_source(std::uint64_t seed) : engine_(seed) {}
    [[nodiscard]] std::uint64_t next() { return engine_(); }

private:
    std::mt19937_64 engine_;
};

/// A clock that only moves when told to, for tests and simulations. Not thread-safe.
class manual_clock {
public:
    [[nodiscard]] time_point now() const { return now_; }
    void advance(duration step) { now_ += step; }
    /// Precondition: `to` is not before now().
    void set(time_point to) { now_ = to; }

private:
    time_point now_{std::chrono::seconds{1}};
};

static_assert(clock_source<steady_clock_source>);
static_assert(clock_source<manual_clock>);
static_assert(random_source<seeded_random_source>);

}  // namespace poplarfront::kernel
