#pragma once

#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>
#include <cstdint>
#include <list>

#include "kernel/concepts.h"

namespace poplarfront::standins {

enum class slot_outcome { acquired, queue_full, deadline_passed, cancelled };

/// One request while it waits for a slot or executes. Owned by the request's fiber.
class open_request {
public:
    /// Ends the wait or the execution early.
    void cancel();
    /// Executes for `time`, at most until `deadline`; false if it was cut short.
    bool execute(kernel::duration time, kernel::time_point deadline);
    [[nodiscard]] bool is_cancelled() const { return cancelled_; }

private:
    friend class execution_slots;

    boost::fibers::mutex mutex_;
    boost::fibers::condition_variable changed_;
    bool granted_ = false;
    bool cancelled_ = false;
};

/// Slots with a bounded first-come queue.
///
/// Thread safety: used by fibers of one thread.
class execution_slots {
public:
    /// Waits for a slot. A request that gets one must release it.
    slot_outcome acquire(open_request& request, kernel::time_point deadline);
    void release();
    /// Takes effect for later calls.
    void resize(std::uint32_t slots, std::uint32_t queue);

    [[nodiscard]] std::size_t waiting() const { return waiting_.size(); }
    [[nodiscard]] std::uint32_t busy() const { return busy_; }

private:
    void grant();

    std::uint32_t slots_ = 1;
    std::uint32_t queue_ = 0;
    std::uint32_t busy_ = 0;
    std::list<open_request*> waiting_;
};

}  // namespace poplarfront::standins
