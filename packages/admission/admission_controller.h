#pragma once

#include <concepts>
#include <span>
#include <utility>

#include "admission/concurrency_limit.h"
#include "admission/execution_estimate.h"
#include "admission/share_scheduler.h"

namespace poplarfront::admission {

/// Receives the decisions of a gate. Calls return at once and do not call the gate.
template <class T>
concept admission_listener = requires(T& output, std::uint64_t id, const refusal& refused) {
    { output.start(id) } -> std::same_as<void>;
    { output.refuse(refused) } -> std::same_as<void>;
};

/// Admission of an instance: the share scheduler decides who is next, the concurrency limit how
/// many run. Every offered request is either started once or refused once.
///
/// Thread safety: used on one thread. The clock and the output must outlive the gate.
template <kernel::clock_source Clock, admission_listener Output,
          limit_policy LimitPolicy = aimd_limit, queueing_policy TurnPolicy = queue_on_deficit>
class admission_controller {
public:
    admission_controller(const Clock& clock, Output& output, share_table table,
                         share_scheduler_options shares = {}, concurrency_limit_options limits = {})
        : output_(output), scheduler_(clock, std::move(table), shares), limit_(limits) {}

    void on_request(const model::searcher_id& searcher, std::span<const model::service_id> services,
                    const admission_request& request) {
        if (const auto refused = scheduler_.offer(searcher, services, request)) {
            output_.refuse(*refused);
            return;
        }
        start_waiting();
    }

    /// A started request has ended.
    void on_end(const limit_sample& sample) {
        limit_.on_end(sample);
        if (!sample.shed) {
            execution_.record(sample.latency);
        }
        expect_execution();
        start_waiting();
    }

    /// A started request has ended without a sample: the limit's latency bound was measured for
    /// searches, and an action also waits for the store.
    void on_end_without_sample() {
        limit_.on_end_without_sample();
        expect_execution();
        start_waiting();
    }

    /// Must be called when the time of next_timer() has come.
    void on_timer() { refuse_late(); }

    /// Puts a new share table in force.
    void on_shares(share_table table) {
        for (const auto& refused : scheduler_.replace(std::move(table))) {
            output_.refuse(refused);
        }
    }

    /// Sets how many requests may run at once at the most.
    void on_max_in_flight(double maximum) {
        limit_.set_maximum(maximum);
        start_waiting();
    }

    [[nodiscard]] kernel::time_point next_timer() const { return scheduler_.next_timer(); }
    [[nodiscard]] std::size_t waiting() const { return scheduler_.waiting(); }
    [[nodiscard]] const concurrency_limit<LimitPolicy>& limit() const { return limit_; }

private:
    /// With nothing under way the estimate is not used: if it exceeded all deadlines, nothing would
    /// run that could correct it.
    void expect_execution() {
        scheduler_.expect_execution(limit_.in_flight() == 0 ? kernel::duration::zero()
                                                            : execution_.value());
    }

    void refuse_late() {
        for (const auto& refused : scheduler_.expire()) {
            output_.refuse(refused);
        }
    }

    void start_waiting() {
        refuse_late();
        while (limit_.has_room()) {
            const auto started = scheduler_.next();
            if (!started) {
                return;
            }
            limit_.on_start();
            expect_execution();
            output_.start(started->id);
        }
    }

    Output& output_;
    share_scheduler<Clock, TurnPolicy> scheduler_;
    concurrency_limit<LimitPolicy> limit_;
    execution_estimate execution_;
};

}  // namespace poplarfront::admission
