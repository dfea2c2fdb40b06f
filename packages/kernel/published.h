#pragma once

#include <atomic>
#include <memory>
#include <utility>

namespace poplarfront::kernel {

/// Holds an immutable snapshot, which one thread replaces and any thread reads.
///
/// Thread safety: `read` may be called from any thread; `publish` from the owning thread only.
template <class T>
class published {
public:
    explicit published(T initial) : value_(std::make_shared<const T>(std::move(initial))) {}

    /// The latest snapshot; never null. It stays valid while the caller holds the pointer.
    [[nodiscard]] std::shared_ptr<const T> read() const { return value_.load(); }

    /// Replaces the snapshot for later readers.
    void publish(T next) { value_.store(std::make_shared<const T>(std::move(next))); }

private:
    std::atomic<std::shared_ptr<const T>> value_;
};

}  // namespace poplarfront::kernel
