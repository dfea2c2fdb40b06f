#pragma once

#include <algorithm>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "admission/queueing_policy.h"
#include "admission/refusal.h"
#include "admission/share_table.h"
#include "admission/token_bucket.h"
#include "kernel/concepts.h"

namespace poplarfront::admission {

struct share_scheduler_options {
    /// Time that a request needs after its turn, unless more is expected; with less left it is
    /// refused.
    kernel::duration min_execution_time = std::chrono::milliseconds{1};
    /// False shares the capacity by weight alone.
    bool enforce_rates = true;
    friend auto operator<=>(const share_scheduler_options&,
                            const share_scheduler_options&) = default;
};

/// Orders requests so that each share gets its guaranteed rate while it asks for it, and shares get
/// what is left by weight. Whatever waits starts as soon as there is capacity.
///
/// A request takes its cost from the share's bucket when it arrives, so the balance may be negative
/// and the bound on unused tokens does not cut off what waiting requests have earned. A share whose
/// tokens cover its first waiting request goes first, the most overdue before others. Otherwise
/// start-time fair queueing picks by weight, and the request gets its tokens back.
///
/// Thread safety: used on one thread. The clock must outlive the scheduler.
template <kernel::clock_source Clock, queueing_policy Policy = queue_on_deficit>
class share_scheduler {
public:
    share_scheduler(const Clock& clock, share_table table, share_scheduler_options options = {})
        : clock_(clock), options_(options), execution_(options.min_execution_time) {
        replace(std::move(table));
    }

    /// Puts a new table in force. Requests that wait under a share that no longer exists are
    /// refused.
    std::vector<refusal> replace(share_table table) {
        std::vector<refusal> refused;
        for (auto it = queues_.begin(); it != queues_.end();) {
            if (table.shares.contains(it->first)) {
                ++it;
                continue;
            }
            for (const auto& waiting : it->second.waiting) {
                refused.push_back({waiting.id, refusal_reason::no_share});
                forget_deadline(waiting);
            }
            it = queues_.erase(it);
        }
        for (const auto& [key, share] : table.shares) {
            auto [it, added] = queues_.try_emplace(key, share, clock_.now());
            it->second.bucket.change(share.rate, share.burst, clock_.now());
            it->second.terms = share;
        }
        table_ = std::move(table);
        return refused;
    }

    /// Takes a request; nothing if it waits now, else why it is refused.
    std::optional<refusal> offer(const model::searcher_id& searcher,
                                 std::span<const model::service_id> services,
                                 const admission_request& request) {
        const auto key = table_.find(searcher, services);
        if (!key) {
            return refusal{request.id, refusal_reason::no_share};
        }
        auto& queue = queues_.at(*key);
        if (const auto reason = refuse_early(queue, request)) {
            return refusal{request.id, *reason};
        }
        if (queue.waiting.empty()) {
            queue.virtual_start = std::max(queue.virtual_start, virtual_time_);
            queue.pace_from = clock_.now();
        }
        queue.waiting.push_back(request);
        queue.waiting_cost += request.cost;
        queue.bucket.take(request.cost, clock_.now());
        deadlines_.insert(request.deadline);
        return std::nullopt;
    }

    /// The request to start next, if any waits. Call it whenever there is capacity.
    std::optional<admission_request> next() {
        auto* const queue = choose();
        if (queue == nullptr) {
            return std::nullopt;
        }
        const auto started = queue->waiting.front();
        remove_first(*queue);
        note_start(*queue, started.cost);
        return started;
    }

    /// Sets the time that requests are expected to need after their turn. Without it a surge would
    /// start requests just before their deadlines, and none would end in time.
    void expect_execution(kernel::duration execution) {
        execution_ = std::max(execution, options_.min_execution_time);
    }

    /// Removes the requests that no longer have the time to run.
    std::vector<refusal> expire() {
        std::vector<refusal> refused;
        const auto limit = clock_.now() + execution_;
        for (auto& [key, queue] : queues_) {
            const auto late = [&](const admission_request& it) { return it.deadline <= limit; };
            for (const auto& it : queue.waiting) {
                if (late(it)) {
                    refused.push_back({it.id, refusal_reason::no_time});
                    queue.waiting_cost -= it.cost;
                    queue.bucket.refund(it.cost, clock_.now());
                    forget_deadline(it);
                }
            }
            std::erase_if(queue.waiting, late);
        }
        return refused;
    }

    /// When expire() must be called; the end of time if nothing waits.
    [[nodiscard]] kernel::time_point next_timer() const {
        return deadlines_.empty() ? kernel::time_point::max() : *deadlines_.begin() - execution_;
    }
    [[nodiscard]] std::size_t waiting() const { return deadlines_.size(); }

private:
    struct share_queue {
        share_queue(const share& terms, kernel::time_point now)
            : terms(terms), bucket(terms.rate, terms.burst, now) {}

        share terms;
        token_bucket bucket;
        std::deque<admission_request> waiting;
        double waiting_cost = 0.0;
        /// Tag of start-time fair queueing: where the share's service by weight has got to.
        double virtual_start = 0.0;
        /// The latest start, or when the first waiting request arrived.
        kernel::time_point pace_from;
        /// Smoothed seconds per cost between starts while requests wait; 0 if unknown.
        double seconds_per_cost = 0.0;
    };

    std::optional<refusal_reason> refuse_early(share_queue& queue,
                                               const admission_request& request) {
        const auto now = clock_.now();
        const auto left = request.deadline - now - execution_;
        if (left <= kernel::duration::zero()) {
            return refusal_reason::no_time;
        }
        if (queue.waiting.size() >= queue.terms.queue) {
            return refusal_reason::queue_full;
        }
        const double balance = queue.bucket.balance(now) - request.cost;
        const auto wait = Policy::guaranteed_wait(balance, queue.terms.rate);
        if (wait && *wait <= left) {
            return std::nullopt;
        }
        if (!Policy::uses_spare_capacity || expected_wait(queue) > left) {
            return refusal_reason::no_time;
        }
        return std::nullopt;
    }

    /// How long the last waiting request of a share will wait, at the pace observed.
    static kernel::duration expected_wait(const share_queue& queue) {
        return std::chrono::duration_cast<kernel::duration>(
            std::chrono::duration<double>(queue.waiting_cost * queue.seconds_per_cost));
    }

    share_queue* choose() {
        if (options_.enforce_rates) {
            if (auto* const due = most_overdue()) {
                return due;
            }
        }
        auto* const fair = least_served();
        if (fair != nullptr) {
            const double cost = fair->waiting.front().cost;
            virtual_time_ = fair->virtual_start;
            fair->virtual_start += cost / fair->terms.weight;
            fair->bucket.refund(cost, clock_.now());
        }
        return fair;
    }

    share_queue* most_overdue() {
        share_queue* best = nullptr;
        double longest = -1.0;
        for (auto& [key, queue] : queues_) {
            if (queue.waiting.empty() || queue.terms.rate <= 0) {
                continue;
            }
            const double earned = queue.bucket.balance(clock_.now()) + queue.waiting_cost;
            const double surplus = earned - queue.waiting.front().cost;
            const double overdue = surplus / queue.terms.rate;
            if (surplus >= 0 && overdue > longest) {
                longest = overdue;
                best = &queue;
            }
        }
        return best;
    }

    share_queue* least_served() {
        const auto finish = [](const share_queue& queue) {
            return queue.virtual_start + queue.waiting.front().cost / queue.terms.weight;
        };
        share_queue* best = nullptr;
        for (auto& [key, queue] : queues_) {
            if (!queue.waiting.empty() && (best == nullptr || finish(queue) < finish(*best))) {
                best = &queue;
            }
        }
        return best;
    }

    void remove_first(share_queue& queue) {
        queue.waiting_cost -= queue.waiting.front().cost;
        forget_deadline(queue.waiting.front());
        queue.waiting.pop_front();
    }

    void forget_deadline(const admission_request& request) {
        deadlines_.erase(deadlines_.find(request.deadline));
    }

    void note_start(share_queue& queue, double cost) {
        constexpr double smoothing = 0.1;
        const auto now = clock_.now();
        const double pace = std::chrono::duration<double>(now - queue.pace_from).count() / cost;
        const bool first = queue.seconds_per_cost == 0.0;
        queue.seconds_per_cost += (first ? 1.0 : smoothing) * (pace - queue.seconds_per_cost);
        queue.pace_from = now;
    }

    const Clock& clock_;
    share_scheduler_options options_;
    kernel::duration execution_;
    share_table table_;
    std::map<share_key, share_queue> queues_;
    /// Of all waiting requests.
    std::multiset<kernel::time_point> deadlines_;
    double virtual_time_ = 0.0;
};

}  // namespace poplarfront::admission
