#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <utility>
#include <vector>

#include "kernel/clock_and_random_sources.h"

namespace poplarfront::bench {

[[nodiscard]] inline kernel::duration from_ms(double value) {
    return std::chrono::duration_cast<kernel::duration>(
        std::chrono::duration<double, std::milli>(value));
}

[[nodiscard]] inline double to_ms(kernel::duration value) {
    return std::chrono::duration<double, std::milli>(value).count();
}

/// Events in virtual time; those of one moment run in the order in which they were added.
class event_queue {
public:
    void at(kernel::time_point when, std::function<void()> action) {
        events_.push_back({std::max(when, clock_.now()), ++sequence_, std::move(action)});
        std::push_heap(events_.begin(), events_.end());
    }
    void after(double delay_ms, std::function<void()> action) {
        at(clock_.now() + from_ms(delay_ms), std::move(action));
    }
    /// Runs the events before `end`.
    void run_until(kernel::time_point end) {
        while (!events_.empty() && events_.front().when < end) {
            std::pop_heap(events_.begin(), events_.end());
            const auto next = std::move(events_.back());
            events_.pop_back();
            clock_.set(next.when);
            next.action();
        }
    }
    [[nodiscard]] const kernel::manual_clock& clock() const { return clock_; }
    [[nodiscard]] kernel::time_point now() const { return clock_.now(); }

private:
    struct event {
        kernel::time_point when;
        std::uint64_t sequence = 0;
        std::function<void()> action;
        friend bool operator<(const event& left, const event& right) {
            return std::pair{left.when, left.sequence} > std::pair{right.when, right.sequence};
        }
    };

    kernel::manual_clock clock_;
    /// A heap, the earliest event in front.
    std::vector<event> events_;
    std::uint64_t sequence_ = 0;
};

}  // namespace poplarfront::bench
