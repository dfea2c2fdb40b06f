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
    /// Maximum number of requests in flight.
    std::uint32_t slots = 2;
    /// Maximum number of requests that wait for a slot.
    std::size_t max_waiting = 64;
    /// Execution time assumed until executions have been observed.
    kernel::duration initial_execution = std::chrono::milliseconds{2};
    friend auto operator<=>(const slot_queue_options&, const slot_queue_options&) = default;
};

/// The result of an event: requests to start now, and refused requests.
struct slot_decisions {
    std::vector<std::uint64_t> started;
    std::vector<refusal> refused;
    friend auto operator<=>(const slot_decisions&, const slot_decisions&) = default;
};

/// The queue for an owner's slots of one backend server. Requests wait in the order of their
/// deadlines; a request that cannot finish in time is refused as soon as that is known.
///
/// Thread safety: used on one thread. The clock must outlive the queue.
template <kernel::clock_source Clock>
class slot_queue {
public:
    explicit slot_queue(const Clock& clock, slot_queue_options options = {})
        : clock_(clock), options_(options), expected_execution_(options.initial_execution) {}

    /// Adds a request, which is started, waits or is refused.
    slot_decisions offer(const admission_request& request) {
        const queue_position position{request.deadline, ++sequence_};
        if (clock_.now() + expected_wait(position) + expected_execution_ >= request.deadline) {
            return {{}, {{request.id, refusal_reason::no_time}}};
        }
        if (busy_ >= options_.slots && waiting_.size() >= options_.max_waiting) {
            return {{}, {{request.id, refusal_reason::queue_full}}};
        }
        waiting_.emplace(position, request.id);
        return start_waiting();
    }

    /// Frees the slot of a started request. `execution` is how long the request held it, or nothing
    /// if that does not reflect an execution (the request was shed, cancelled or lost).
    slot_decisions release(std::optional<kernel::duration> execution) {
        constexpr int smoothing_divisor = 8;
        if (execution) {
            expected_execution_ += (*execution - expected_execution_) / smoothing_divisor;
        }
        --busy_;
        return start_waiting();
    }

    /// Removes a waiting request. Returns false if it does not wait.
    bool cancel(std::uint64_t id) {
        return std::erase_if(waiting_, [id](const auto& it) { return it.second == id; }) > 0;
    }

    /// Refuses the waiting requests that can no longer finish in time.
    slot_decisions on_timer() { return start_waiting(); }

    /// Sets the number of slots; requests in flight are not affected.
    slot_decisions resize(std::uint32_t slots) {
        options_.slots = slots;
        return start_waiting();
    }

    /// When on_timer() must be called; time_point::max() if nothing waits.
    [[nodiscard]] kernel::time_point next_timer() const {
        return waiting_.empty() ? kernel::time_point::max()
                                : waiting_.begin()->first.first - expected_execution_;
    }
    [[nodiscard]] std::size_t waiting() const { return waiting_.size(); }
    [[nodiscard]] std::uint32_t busy() const { return busy_; }
    [[nodiscard]] kernel::duration expected_execution() const { return expected_execution_; }

private:
    using queue_position = std::pair<kernel::time_point, std::uint64_t>;

    [[nodiscard]] kernel::duration expected_wait(const queue_position& position) const {
        if (busy_ < options_.slots && waiting_.empty()) {
            return kernel::duration::zero();
        }
        const auto requests_before =
            std::distance(waiting_.begin(), waiting_.lower_bound(position));
        // A single slot is freed after half an execution on average, then once per execution; with
        // more slots the intervals are shorter in proportion.
        const auto half_executions = 2 * requests_before + 1;
        return expected_execution_ * half_executions /
               (2 * static_cast<std::int64_t>(options_.slots));
    }

    slot_decisions start_waiting() {
        slot_decisions decisions;
        refuse_expired(decisions);
        while (busy_ < options_.slots && !waiting_.empty()) {
            decisions.started.push_back(waiting_.begin()->second);
            waiting_.erase(waiting_.begin());
            ++busy_;
        }
        return decisions;
    }

    void refuse_expired(slot_decisions& decisions) {
        const auto earliest_end = clock_.now() + expected_execution_;
        while (!waiting_.empty() && waiting_.begin()->first.first <= earliest_end) {
            decisions.refused.push_back({waiting_.begin()->second, refusal_reason::no_time});
            waiting_.erase(waiting_.begin());
        }
    }

    const Clock& clock_;
    slot_queue_options options_;
    kernel::duration expected_execution_;
    std::map<queue_position, std::uint64_t> waiting_;
    std::uint32_t busy_ = 0;
    std::uint64_t sequence_ = 0;
};

}  // namespace poplarfront::admission
