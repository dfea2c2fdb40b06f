#pragma once

#include <boost/fiber/future.hpp>
#include <map>
#include <memory>
#include <optional>

#include "admission/slot_queue.h"
#include "kernel/clock_and_random_sources.h"

namespace poplarfront::daemon {

/// This instance's part of the slots of one backend server; fibers wait in it for a slot.
///
/// Thread safety: used on fibers of one thread.
class slot_gate {
public:
    explicit slot_gate(std::uint32_t slots)
        : slots_(slots), queue_(clock_, admission::slot_queue_options{slots}) {}

    /// Suspends the fiber until it has a slot; false if it cannot get one that ends in time.
    bool acquire(kernel::time_point deadline);

    /// Gives the slot back. `execution` is how long it was held, or nothing if that says nothing
    /// about executions.
    void release(std::optional<kernel::duration> execution);

    /// Applies a new part; requests that hold a slot are not affected.
    void resize(std::uint32_t slots);

    [[nodiscard]] std::uint32_t busy() const { return queue_.busy(); }

private:
    using granted = boost::fibers::promise<bool>;

    void pass_on(const admission::slot_decisions& step);

    kernel::steady_clock_source clock_;
    std::uint32_t slots_;
    admission::slot_queue<kernel::steady_clock_source> queue_;
    std::uint64_t last_id_ = 0;
    std::map<std::uint64_t, std::shared_ptr<granted>> waiting_;
};

}  // namespace poplarfront::daemon
