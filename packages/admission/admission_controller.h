#pragma once

#include <concepts>
#include <span>
#include <utility>

#include "admission/concurrency_limit.h"
#include "admission/execution_estimate.h"
#include "admission/share_scheduler.h"

namespace poplarfront::admission {

/// Receives the decisions of an admission controller. Implementations must return at once and must
/// not call the controller.
template <class T>
concept admission_listener = requires(T& listener, std::uint64_t id, const refusal& refused) {
    { listener.start(id) } -> std::same_as<void>;
    { listener.refuse(refused) } -> std::same_as<void>;
};

/// Admission control of an instance: the share scheduler decides which request is next, the
/// concurrency limit decides how many run. Every request is either started once or refused once.
///
/// Thread safety: used on one thread. The clock and the listener must outlive the controller.
template <kernel::clock_source Clock, admission_listener Listener,
          limit_policy LimitPolicy = aimd_limit, queueing_policy QueueingPolicy = queue_on_deficit>
class admission_controller {
public:
    admission_controller(const Clock& clock, Listener& listener, share_table table,
                         share_scheduler_options shares = {}, concurrency_limit_options limits = {})
        : listener_(listener), scheduler_(clock, std::move(table), shares), limit_(limits) {}

    void on_request(const model::searcher_id& searcher, std::span<const model::service_id> services,
                    const admission_request& request) {
        if (const auto refused = scheduler_.offer(searcher, services, request)) {
            listener_.refuse(*refused);
            return;
        }
        start_waiting();
    }

    /// Reports the end of a started request.
    void on_end(const limit_sample& sample) {
        limit_.on_end(sample);
        if (!sample.shed) {
            execution_estimate_.record(sample.latency);
        }
        update_expected_execution();
        start_waiting();
    }

    /// Reports the end of a started request whose latency must not affect the limit: the latency
    /// threshold is meant for searches, and an action also waits for the store.
    void on_end_without_sample() {
        limit_.on_end_without_sample();
        update_expected_execution();
        start_waiting();
    }

    /// Must be called at the time of next_timer().
    void on_timer() { refuse_expired(); }

    /// Applies a new share table and refuses waiting requests whose share was removed.
    void on_shares(share_table table) {
        for (const auto& refused : scheduler_.replace(std::move(table))) {
            listener_.refuse(refused);
        }
    }

    /// Sets the maximum of the concurrency limit.
    void on_max_in_flight(double maximum) {
        limit_.set_maximum(maximum);
        start_waiting();
    }

    [[nodiscard]] kernel::time_point next_timer() const { return scheduler_.next_timer(); }
    [[nodiscard]] std::size_t waiting() const { return scheduler_.waiting(); }
    [[nodiscard]] const concurrency_limit<LimitPolicy>& limit() const { return limit_; }

private:
    /// The estimate is not used while nothing runs: if it exceeded the time left of every request,
    /// all would be refused and no execution could correct it.
    void update_expected_execution() {
        scheduler_.set_expected_execution(limit_.in_flight() == 0 ? kernel::duration::zero()
                                                                  : execution_estimate_.value());
    }

    void refuse_expired() {
        for (const auto& refused : scheduler_.expire()) {
            listener_.refuse(refused);
        }
    }

    void start_waiting() {
        refuse_expired();
        while (limit_.has_room()) {
            const auto started = scheduler_.next();
            if (!started) {
                return;
            }
            limit_.on_start();
            update_expected_execution();
            listener_.start(started->id);
        }
    }

    Listener& listener_;
    share_scheduler<Clock, QueueingPolicy> scheduler_;
    concurrency_limit<LimitPolicy> limit_;
    execution_estimate execution_estimate_;
};

}  // namespace poplarfront::admission
