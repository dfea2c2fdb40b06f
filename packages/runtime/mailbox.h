#pragma once

#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>
#include <deque>
#include <mutex>
#include <optional>
#include <utility>

#include "kernel/concepts.h"

namespace poplarfront::runtime {

/// A queue of events that one fiber consumes.
///
/// Thread safety: `push` may be called from any thread that runs fibers, `pop_until` from one
/// fiber.
template <class Event>
class mailbox {
public:
    void push(Event event) {
        {
            std::unique_lock lock{mutex_};
            events_.push_back(std::move(event));
        }
        arrived_.notify_one();
    }

    /// Removes and returns the next event; returns nothing if none arrives before `deadline`.
    std::optional<Event> pop_until(kernel::time_point deadline) {
        std::unique_lock lock{mutex_};
        if (!arrived_.wait_until(lock, deadline, [this] { return !events_.empty(); })) {
            return std::nullopt;
        }
        auto event = std::move(events_.front());
        events_.pop_front();
        return event;
    }

private:
    boost::fibers::mutex mutex_;
    boost::fibers::condition_variable arrived_;
    std::deque<Event> events_;
};

}  // namespace poplarfront::runtime
