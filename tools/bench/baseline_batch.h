#pragma once

#include <algorithm>
#include <optional>
#include <utility>
#include <vector>

#include "routing/batch_call.h"

namespace poplarfront::bench {

/// The comparison policy of an owner: a random replica, a fixed time-out, one immediate retry; no
/// hedging, no budget, no cancel. Has the interface of routing::batch_call.
template <kernel::clock_source Clock, routing::shard_transport Transport>
class baseline_batch {
public:
    template <routing::replica_lookup Replicas>
    baseline_batch(const Clock& clock, Transport& transport, routing::routing_context shared,
                   routing::sub_query_batch batch, const Replicas& replicas_of)
        : clock_(clock), transport_(transport), shared_(shared), batch_(std::move(batch)) {
        for (const auto& shard : batch_.shards) {
            calls_.push_back({shard, replicas_of(shard)});
        }
    }

    void start() {
        for (std::size_t it = 0; it < calls_.size(); ++it) {
            try_next(it, model::missing_reason::no_replica);
        }
        settle();
    }

    void on_reply(const model::attempt_reply& reply) {
        const auto index = (reply.attempt % attempts_per_batch) / attempts_per_shard;
        if (index >= calls_.size() || reply.request != batch_.request ||
            reply.attempt + 1 != number(index, calls_[index].tries) || calls_[index].result) {
            return;
        }
        if (reply.versions) {
            shared_.versions.observe(reply.server, *reply.versions);
        }
        take(index, reply);
        settle();
    }

    void on_timer() {
        const auto now = clock_.now();
        for (std::size_t it = 0; it < calls_.size(); ++it) {
            if (calls_[it].result) {
                continue;
            }
            if (now >= batch_.deadline) {
                finish(it, model::missing_reason::timed_out);
            } else if (now >= calls_[it].time_out) {
                try_next(it, model::missing_reason::timed_out);
            }
        }
        settle();
    }

    [[nodiscard]] kernel::time_point next_timer() const {
        auto next = batch_.deadline;
        for (const auto& it : calls_) {
            next = it.result ? next : std::min(next, it.time_out);
        }
        return next;
    }

    void cancel() {
        for (std::size_t it = 0; it < calls_.size(); ++it) {
            if (!calls_[it].result) {
                finish(it, model::missing_reason::refused);
            }
        }
        settle();
    }

    [[nodiscard]] const std::optional<routing::sub_query_result>& result() const { return result_; }

private:
    static constexpr kernel::duration fixed_time_out = std::chrono::milliseconds{100};
    static constexpr std::uint32_t max_tries = 2;
    static constexpr std::uint32_t attempts_per_shard = 8;
    static constexpr std::uint32_t attempts_per_batch = attempts_per_shard << 15U;

    struct call {
        model::shard_ref shard;
        std::vector<model::server_id> replicas;
        std::uint32_t tries = 0;
        kernel::time_point time_out;
        std::optional<model::version_range> versions;
        std::optional<routing::shard_result> result;
    };

    [[nodiscard]] std::uint32_t number(std::size_t index, std::uint32_t tries) const {
        return batch_.batch * attempts_per_batch +
               static_cast<std::uint32_t>(index) * attempts_per_shard + tries;
    }

    void take(std::size_t index, const model::attempt_reply& reply) {
        auto& it = calls_[index];
        it.versions = reply.versions;
        switch (reply.status) {
            case model::attempt_status::ok:
                if (reply.version == batch_.snapshot.version) {
                    it.result = {it.shard, model::missing_reason::none, reply.version,
                                 reply.records, reply.versions};
                } else {
                    finish(index, model::missing_reason::version_unavailable);
                }
                return;
            case model::attempt_status::version_unavailable:
                finish(index, model::missing_reason::version_unavailable);
                return;
            case model::attempt_status::wrong_map:
                finish(index, model::missing_reason::map_changed);
                return;
            default:
                try_next(index, model::missing_reason::refused);
        }
    }

    void try_next(std::size_t index, model::missing_reason otherwise) {
        auto& it = calls_[index];
        if (it.tries >= max_tries || it.replicas.empty()) {
            finish(index, otherwise);
            return;
        }
        const auto chosen = kernel::uniform_below(shared_.random, it.replicas.size());
        it.time_out = std::min(batch_.deadline, clock_.now() + fixed_time_out);
        model::shard_attempt attempt{
            batch_.request,      number(index, it.tries), batch_.searcher, it.shard,
            it.replicas[chosen], batch_.snapshot,         batch_.query,    it.time_out};
        ++it.tries;
        transport_.send(attempt);
    }

    void finish(std::size_t index, model::missing_reason reason) {
        auto& it = calls_[index];
        it.result = {it.shard, reason, {}, {}, it.versions};
    }

    void settle() {
        const bool ended = std::all_of(calls_.begin(), calls_.end(),
                                       [](const auto& it) { return it.result.has_value(); });
        if (result_ || !ended) {
            return;
        }
        routing::sub_query_result result{batch_.request, batch_.batch, batch_.searcher, {}};
        for (const auto& it : calls_) {
            result.shards.push_back(*it.result);
        }
        result_ = std::move(result);
    }

    const Clock& clock_;
    Transport& transport_;
    routing::routing_context shared_;
    routing::sub_query_batch batch_;
    std::vector<call> calls_;
    std::optional<routing::sub_query_result> result_;
};

}  // namespace poplarfront::bench
