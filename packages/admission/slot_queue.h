#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "admission/refusal.h"
#include "kernel/concepts.h"

namespace poplarfront::admission {

struct slot_queue_options {
    /// Requests under way at once.
    std::uint32_t slots = 2;
    /// Requests that wait for a slot.
    std::size_t queue = 64;
    /// Assumed until executions have been observed.
    kernel::duration initial_execution = std::chrono::milliseconds{2};
    friend auto operator<=>(const slot_queue_options&, const slot_queue_options&) = default;
};

/// What follows from an event: requests to start now, and requests that did not run.
struct slot_decisions {
    std::vector<std::uint64_t> started;
    std::vector<refusal> refused;
    friend auto operator<=>(const slot_decisions&, const slot_decisions&) = default;
};

/// An owner's part of the slots of one backend server. Requests wait in the order of their
/// deadlines; one that cannot finish in time is refused as soon as that is known.
///
/// Thread safety: used on one thread. The clock must outlive the queue.
template <kernel::clock_source Clock>
class slot_queue {
public:
    explicit slot_queue(const Clock& clock, slot_queue_options options = {})
        : clock_(clock), options_(options), execution_(options.initial_execution) {}

    /// Takes a request: it is started, waits, or is refused.
    slot_decisions offer(const admission_request& request) {
        const position place{request.deadline, ++sequence_};
        if (clock_.now() + expected_wait(place) + execution_ >= request.deadline) {
            return {{}, {{request.id, refusal_reason::no_time}}};
        }
        if (busy_ >= options_.slots && waiting_.size() >= options_.queue) {
            return {{}, {{request.id, refusal_reason::queue_full}}};
        }
        waiting_.emplace(place, request.id);
        return start_waiting();
    }

    /// A started request has ended. `execution` is how long it held its slot, or nothing if that
    /// says nothing about executions (it was shed, cancelled or lost).
    slot_decisions release(std::optional<kernel::duration> execution) {
        constexpr int smoothing = 8;
        if (execution) {
            execution_ += (*execution - execution_) / smoothing;
        }
        --busy_;
        return start_waiting();
    }

    /// Removes a waiting request; false if it does not wait.
    bool cancel(std::uint64_t id) {
        return std::erase_if(waiting_, [id](const auto& it) { return it.second == id; }) > 0;
    }

    /// Refuses the waiting requests that can no longer finish in time.
    slot_decisions on_timer() { return start_waiting(); }

    /// Applies a new number of slots; requests under way are not affected.
    slot_decisions resize(std::uint32_t slots) {
        options_.slots = slots;
        return start_waiting();
    }

    /// When on_timer() must be called; the end of time if nothing waits.
    [[nodiscard]] kernel::time_point next_timer() const {
        return waiting_.empty() ? kernel::time_point::max()
                                : waiting_.begin()->first.first - execution_;
    }
    [[nodiscard]] std::size_t waiting() const { return waiting_.size(); }
    [[nodiscard]] std::uint32_t busy() const { return busy_; }
    [[nodiscard]] kernel::duration expected_execution() const { return execution_; }

private:
    using position = std::pair<kernel::time_point, std::uint64_t>;

    [[nodiscard]] kernel::duration expected_wait(const position& place) const {
        if (busy_ < options_.slots && waiting_.empty()) {
            return kernel::duration::zero();
        }
        const auto before = std::distance(waiting_.begin(), waiting_.lower_bound(place));
        // On average the first slot is freed after half an execution when there is one slot.
        const auto halves = 2 * before + 1;
        return execution_ * halves / (2 * static_cast<std::int64_t>(options_.slots));
    }

    slot_decisions start_waiting() {
        slot_decisions step;
        refuse_late(step);
        while (busy_ < options_.slots && !waiting_.empty()) {
            step.started.push_back(waiting_.begin()->second);
            waiting_.erase(waiting_.begin());
            ++busy_;
        }
        return step;
    }

    void refuse_late(slot_decisions& step) {
        const auto limit = clock_.now() + execution_;
        while (!waiting_.empty() && waiting_.begin()->first.first <= limit) {
            step.refused.push_back({waiting_.begin()->second, refusal_reason::no_time});
            waiting_.erase(waiting_.begin());
        }
    }

    const Clock& clock_;
    slot_queue_options options_;
    kernel::duration execution_;
    std::map<position, std::uint64_t> waiting_;
    std::uint32_t busy_ = 0;
    std::uint64_t sequence_ = 0;
};

}  // namespace poplarfront::admission
