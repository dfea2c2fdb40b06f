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
    /// Lower bound of the expected execution time. A request whose deadline is nearer than the
    /// expected execution time is refused.
    kernel::duration min_execution_time = std::chrono::milliseconds{1};
    /// If false, waiting requests are selected by weight alone; refusals on arrival still use the
    /// rates.
    bool enforce_rates = true;
    friend auto operator<=>(const share_scheduler_options&,
                            const share_scheduler_options&) = default;
};

/// Orders requests so that each share gets its guaranteed rate while it has requests, and the
/// remaining capacity is shared by weight. Waiting requests start as soon as there is capacity.
///
/// The cost of a request is taken from the token bucket of its share on arrival. This reserves the
/// tokens of waiting requests, so that the burst size limits only tokens that no waiting request
/// needs; the balance may become negative. Shares whose tokens cover their first waiting request
/// are served first, the most overdue one before the others. If there is none, weighted fair
/// queueing selects the share with the earliest virtual finish, and the tokens of the request are
/// refunded.
///
/// Thread safety: used on one thread. The clock must outlive the scheduler.
template <kernel::clock_source Clock, queueing_policy Policy = queue_on_deficit>
class share_scheduler {
public:
    share_scheduler(const Clock& clock, share_table table, share_scheduler_options options = {})
        : clock_(clock), options_(options), expected_execution_(options.min_execution_time) {
        replace(std::move(table));
    }

    /// Applies a new share table. Returns the waiting requests that are refused because their share
    /// was removed.
    std::vector<refusal> replace(share_table table) {
        std::vector<refusal> refused;
        for (auto it = queues_.begin(); it != queues_.end();) {
            if (table.shares.contains(it->first)) {
                ++it;
                continue;
            }
            for (const auto& waiting : it->second.waiting) {
                refused.push_back({waiting.id, refusal_reason::no_share});
                erase_deadline(waiting);
            }
            it = queues_.erase(it);
        }
        for (const auto& [key, share] : table.shares) {
            auto [it, added] = queues_.try_emplace(key, share, clock_.now());
            it->second.bucket.reconfigure(share.rate, share.burst, clock_.now());
            it->second.config = share;
        }
        table_ = std::move(table);
        return refused;
    }

    /// Adds a request. Returns nothing if it waits now, otherwise its refusal.
    std::optional<refusal> offer(const model::searcher_id& searcher,
                                 std::span<const model::service_id> services,
                                 const admission_request& request) {
        const auto key = table_.find(searcher, services);
        if (!key) {
            return refusal{request.id, refusal_reason::no_share};
        }
        auto& queue = queues_.at(*key);
        if (const auto reason = refusal_on_arrival(queue, request)) {
            return refusal{request.id, *reason};
        }
        if (queue.waiting.empty()) {
            queue.virtual_start = std::max(queue.virtual_start, virtual_time_);
            queue.interval_start = clock_.now();
        }
        queue.waiting.push_back(request);
        queue.waiting_cost += request.cost;
        queue.bucket.take(request.cost, clock_.now());
        deadlines_.insert(request.deadline);
        return std::nullopt;
    }

    /// Removes and returns the request to start next, if any waits. Must be called whenever there
    /// is capacity.
    std::optional<admission_request> next() {
        auto* const queue = select_queue();
        if (queue == nullptr) {
            return std::nullopt;
        }
        const auto started = queue->waiting.front();
        remove_first(*queue);
        record_start(*queue, started.cost);
        return started;
    }

    /// Sets the time that a request is expected to take after its start. Without it, requests would
    /// start just before their deadlines in a surge, and none would end in time.
    void set_expected_execution(kernel::duration execution) {
        expected_execution_ = std::max(execution, options_.min_execution_time);
    }

    /// Removes and returns the requests that can no longer end before their deadlines.
    std::vector<refusal> expire() {
        std::vector<refusal> refused;
        const auto earliest_end = clock_.now() + expected_execution_;
        for (auto& [key, queue] : queues_) {
            const auto expired = [&](const admission_request& request) {
                return request.deadline <= earliest_end;
            };
            for (const auto& request : queue.waiting) {
                if (expired(request)) {
                    refused.push_back({request.id, refusal_reason::no_time});
                    queue.waiting_cost -= request.cost;
                    queue.bucket.refund(request.cost, clock_.now());
                    erase_deadline(request);
                }
            }
            std::erase_if(queue.waiting, expired);
        }
        return refused;
    }

    /// When expire() must be called; time_point::max() if nothing waits.
    [[nodiscard]] kernel::time_point next_timer() const {
        return deadlines_.empty() ? kernel::time_point::max()
                                  : *deadlines_.begin() - expected_execution_;
    }
    [[nodiscard]] std::size_t waiting() const { return deadlines_.size(); }

private:
    struct share_queue {
        share_queue(const share& config, kernel::time_point now)
            : config(config), bucket(config.rate, config.burst, now) {}

        share config;
        token_bucket bucket;
        std::deque<admission_request> waiting;
        double waiting_cost = 0.0;
        /// Start tag, as in start-time fair queueing; grows by cost / weight with each request that
        /// is selected by weight.
        double virtual_start = 0.0;
        /// The latest start, or the arrival of a request at the empty queue if that was later.
        kernel::time_point interval_start;
        /// Smoothed time between starts while requests wait, in seconds per unit of cost; 0 if
        /// unknown.
        double seconds_per_cost = 0.0;
    };

    std::optional<refusal_reason> refusal_on_arrival(share_queue& queue,
                                                     const admission_request& request) {
        const auto now = clock_.now();
        const auto left = request.deadline - now - expected_execution_;
        if (left <= kernel::duration::zero()) {
            return refusal_reason::no_time;
        }
        if (queue.waiting.size() >= queue.config.queue) {
            return refusal_reason::queue_full;
        }
        const double balance = queue.bucket.balance(now) - request.cost;
        const auto wait = Policy::guaranteed_wait(balance, queue.config.rate);
        if (wait && *wait <= left) {
            return std::nullopt;
        }
        if (!Policy::uses_spare_capacity || expected_wait(queue) > left) {
            return refusal_reason::no_time;
        }
        return std::nullopt;
    }

    /// How long a new request would wait behind the waiting ones, at the observed rate of starts.
    static kernel::duration expected_wait(const share_queue& queue) {
        return std::chrono::duration_cast<kernel::duration>(
            std::chrono::duration<double>(queue.waiting_cost * queue.seconds_per_cost));
    }

    share_queue* select_queue() {
        if (options_.enforce_rates) {
            if (auto* const overdue_queue = find_most_overdue_queue()) {
                return overdue_queue;
            }
        }
        auto* const selected = find_earliest_finish_queue();
        if (selected != nullptr) {
            const double cost = selected->waiting.front().cost;
            virtual_time_ = selected->virtual_start;
            selected->virtual_start += cost / selected->config.weight;
            selected->bucket.refund(cost, clock_.now());
        }
        return selected;
    }

    share_queue* find_most_overdue_queue() {
        share_queue* best = nullptr;
        double longest = -1.0;
        for (auto& [key, queue] : queues_) {
            if (queue.waiting.empty() || queue.config.rate <= 0) {
                continue;
            }
            const double available_tokens = queue.bucket.balance(clock_.now()) + queue.waiting_cost;
            const double surplus = available_tokens - queue.waiting.front().cost;
            const double overdue = surplus / queue.config.rate;
            if (surplus >= 0 && overdue > longest) {
                longest = overdue;
                best = &queue;
            }
        }
        return best;
    }

    share_queue* find_earliest_finish_queue() {
        const auto virtual_finish = [](const share_queue& queue) {
            return queue.virtual_start + queue.waiting.front().cost / queue.config.weight;
        };
        share_queue* best = nullptr;
        for (auto& [key, queue] : queues_) {
            if (!queue.waiting.empty() &&
                (best == nullptr || virtual_finish(queue) < virtual_finish(*best))) {
                best = &queue;
            }
        }
        return best;
    }

    void remove_first(share_queue& queue) {
        queue.waiting_cost -= queue.waiting.front().cost;
        erase_deadline(queue.waiting.front());
        queue.waiting.pop_front();
    }

    void erase_deadline(const admission_request& request) {
        deadlines_.erase(deadlines_.find(request.deadline));
    }

    void record_start(share_queue& queue, double cost) {
        constexpr double smoothing = 0.1;
        const auto now = clock_.now();
        const double latest_seconds_per_cost =
            std::chrono::duration<double>(now - queue.interval_start).count() / cost;
        const bool first = queue.seconds_per_cost == 0.0;
        queue.seconds_per_cost +=
            (first ? 1.0 : smoothing) * (latest_seconds_per_cost - queue.seconds_per_cost);
        queue.interval_start = now;
    }

    const Clock& clock_;
    share_scheduler_options options_;
    kernel::duration expected_execution_;
    share_table table_;
    std::map<share_key, share_queue> queues_;
    /// The deadlines of all waiting requests.
    std::multiset<kernel::time_point> deadlines_;
    /// The start tag of the request that was last selected by weight.
    double virtual_time_ = 0.0;
};

}  // namespace poplarfront::admission
