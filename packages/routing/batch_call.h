#pragma once

#include <algorithm>
#include <concepts>
#include <optional>
#include <vector>

#include "routing/shard_call.h"

namespace poplarfront::routing {

/// Gives the replicas of a shard by the owner's shard map; none if the map has no such shard.
template <class T>
concept replica_lookup = requires(const T& lookup, const model::shard_ref& shard) {
    { lookup(shard) } -> std::convertible_to<std::vector<model::server_id>>;
};

/// Executes one batch on the owner: one shard_call per shard, and a single result when all have
/// ended or the deadline has come.
///
/// Thread safety: used on one thread. The transport, the clock and the shared objects must outlive
/// the call.
template <kernel::clock_source Clock, shard_transport Transport>
class batch_call {
public:
    template <replica_lookup Replicas>
    batch_call(const Clock& clock, Transport& transport, routing_context shared,
               sub_query_batch batch, const Replicas& replicas_of)
        : clock_(clock), batch_(std::move(batch)) {
        calls_.reserve(batch_.shards.size());
        for (const auto& shard : batch_.shards) {
            const auto first = first_attempt(calls_.size());
            calls_.emplace_back(clock, transport, shared, batch_, shard, replicas_of(shard), first);
        }
        shared_counters_ = &shared.counters;
    }

    void start() {
        for (auto& it : calls_) {
            it.start();
        }
        settle();
    }

    /// Takes a reply to one of the attempts; one that matches none is dropped and counted.
    void on_reply(const model::attempt_reply& reply) {
        const auto offset = reply.attempt - first_attempt(0);
        const auto index = offset / attempts_per_shard;
        if (index >= calls_.size()) {
            ++shared_counters_->dropped_replies;
            return;
        }
        calls_[index].on_reply(reply);
        settle();
    }

    /// Must be called when the time of next_timer() has come, and after the quarantine list has
    /// changed; harmless at other times.
    void on_timer() {
        for (auto& it : calls_) {
            it.on_timer();
        }
        settle();
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

    /// Ends all calls, because the entry instance has cancelled the batch.
    void cancel() {
        for (auto& it : calls_) {
            it.abort(model::missing_reason::refused);
        }
        settle();
    }

    [[nodiscard]] const sub_query_batch& batch() const { return batch_; }

    /// The result, once there is one.
    [[nodiscard]] const std::optional<sub_query_result>& result() const { return result_; }

private:
    // Attempts are unique within the request: 14 bits for the batch, 15 for the shard, 3 for the
    // attempt.
    static constexpr std::uint32_t attempts_per_shard = 8;
    static constexpr std::uint32_t attempts_per_batch = attempts_per_shard << 15U;

    [[nodiscard]] std::uint32_t first_attempt(std::size_t shard_index) const {
        return batch_.batch * attempts_per_batch +
               static_cast<std::uint32_t>(shard_index) * attempts_per_shard;
    }

    void settle() {
        const bool ended = std::all_of(calls_.begin(), calls_.end(),
                                       [](const auto& it) { return it.result().has_value(); });
        if (result_ || !ended) {
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
    routing_counters* shared_counters_ = nullptr;
    std::vector<shard_call<Clock, Transport>> calls_;
    std::optional<sub_query_result> result_;
};

}  // namespace poplarfront::routing
