#pragma once

#include <algorithm>
#include <concepts>
#include <optional>
#include <vector>

#include "routing/shard_call.h"

namespace poplarfront::routing {

/// Returns the replicas of a shard in the owner's shard map; empty if the map has no such shard.
template <class T>
concept replica_lookup = requires(const T& lookup, const model::shard_ref& shard) {
    { lookup(shard) } -> std::convertible_to<std::vector<model::server_id>>;
};

/// Executes one batch on the owner: makes one shard_call per shard, and gives a single result when
/// all of them have finished or the deadline has passed.
///
/// Thread safety: used on one thread. The transport, the clock and the objects of the context must
/// outlive the call.
template <kernel::clock_source Clock, shard_transport Transport>
class batch_call {
public:
    template <replica_lookup Replicas>
    batch_call(const Clock& clock, Transport& transport, routing_context context,
               sub_query_batch batch, const Replicas& replicas_of)
        : clock_(clock), batch_(std::move(batch)) {
        calls_.reserve(batch_.shards.size());
        for (const auto& shard : batch_.shards) {
            const auto first = first_attempt(calls_.size());
            calls_.emplace_back(clock, transport, context, batch_, shard, replicas_of(shard),
                                first);
        }
        counters_ = &context.counters;
    }

    void start() {
        for (auto& it : calls_) {
            it.start();
        }
        finish_if_done();
    }

    /// Handles a reply to one of the attempts; one that matches none is dropped and counted.
    void on_reply(const model::attempt_reply& reply) {
        const auto offset = reply.attempt - first_attempt(0);
        const auto index = offset / attempts_per_shard;
        if (index >= calls_.size()) {
            ++counters_->dropped_replies;
            return;
        }
        calls_[index].on_reply(reply);
        finish_if_done();
    }

    /// Must be called at the time of next_timer() and after a change of the quarantined queries;
    /// has no effect at other times.
    void on_timer() {
        for (auto& it : calls_) {
            it.on_timer();
        }
        finish_if_done();
    }

    [[nodiscard]] kernel::time_point next_timer() const {
        auto next = batch_.deadline;
        for (const auto& it : calls_) {
            if (!it.result()) {
                next = std::min(next, it.next_timer());
            }
        }
        return next;
    }

    /// Aborts the open calls after the entry instance has cancelled the batch.
    void cancel() {
        for (auto& it : calls_) {
            it.abort(model::missing_reason::refused);
        }
        finish_if_done();
    }

    [[nodiscard]] const sub_query_batch& batch() const { return batch_; }

    /// The result, once there is one.
    [[nodiscard]] const std::optional<sub_query_result>& result() const { return result_; }

private:
    // Attempt numbers are unique within the request: 14 bits for the batch, 15 for the shard and 3
    // for the attempt.
    static constexpr std::uint32_t attempts_per_shard = 8;
    static constexpr std::uint32_t attempts_per_batch = attempts_per_shard << 15U;

    [[nodiscard]] std::uint32_t first_attempt(std::size_t shard_index) const {
        return batch_.batch * attempts_per_batch +
               static_cast<std::uint32_t>(shard_index) * attempts_per_shard;
    }

    void finish_if_done() {
        const bool finished = std::all_of(calls_.begin(), calls_.end(),
                                          [](const auto& it) { return it.result().has_value(); });
        if (result_ || !finished) {
            return;
        }
        sub_query_result result{batch_.request, batch_.batch, batch_.searcher, {}};
        for (const auto& it : calls_) {
            result.shards.push_back(*it.result());
        }
        result_ = std::move(result);
    }

    const Clock& clock_;
    sub_query_batch batch_;
    routing_counters* counters_ = nullptr;
    std::vector<shard_call<Clock, Transport>> calls_;
    std::optional<sub_query_result> result_;
};

}  // namespace poplarfront::routing
