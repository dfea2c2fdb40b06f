#pragma once

#include <memory>

#include "kernel/concepts.h"
#include "metrics/latency_snapshot.h"

namespace poplarfront::metrics {

/// A histogram of latencies with logarithmic bins.
///
/// Not thread-safe: each thread has its own histogram, and the snapshots are merged.
class latency_histogram {
public:
    latency_histogram();
    ~latency_histogram();
    latency_histogram(const latency_histogram&) = delete;
    latency_histogram& operator=(const latency_histogram&) = delete;
    latency_histogram(latency_histogram&&) noexcept;
    latency_histogram& operator=(latency_histogram&&) noexcept;

    void record(kernel::duration latency);
    [[nodiscard]] latency_snapshot snapshot() const;
    /// Removes all recorded latencies.
    void clear();

private:
    class implementation;
    std::unique_ptr<implementation> implementation_;
};

}  // namespace poplarfront::metrics
