#pragma once

#include <string>
#include <utility>
#include <vector>

#include "routing/batch_call.h"
#include "routing/query_session.h"
#include "routing/routing_state.h"

namespace poplarfront::routing {

inline model::server_id server(int number) {
    return model::server_id::trusted("b" + std::to_string(number));
}

inline model::instance_id instance(int number) {
    return model::instance_id::trusted("i" + std::to_string(number));
}

inline model::shard_ref shard(int number) {
    return {model::service_id::trusted("s"), model::shard_id::trusted(std::to_string(number))};
}

/// The long-lived objects of a traffic thread, always with the same seed.
struct seeded_routing_state : routing_state {
    seeded_routing_state() : routing_state(1) {}
};

/// Records what is sent and cancelled.
struct recording_transport {
    std::vector<model::shard_attempt> sent;
    std::vector<model::shard_attempt> cancelled;
    std::vector<std::pair<model::instance_id, sub_query_batch>> batches;
    std::vector<std::pair<model::instance_id, sub_query_batch>> cancelled_batches;

    void send(const model::shard_attempt& attempt) { sent.push_back(attempt); }
    void cancel(const model::shard_attempt& attempt) { cancelled.push_back(attempt); }
    void send(const model::instance_id& owner, const sub_query_batch& batch) {
        batches.emplace_back(owner, batch);
    }
    void cancel(const model::instance_id& owner, const sub_query_batch& batch) {
        cancelled_batches.emplace_back(owner, batch);
    }
};

inline model::attempt_reply reply_to(const model::shard_attempt& attempt,
                                     model::attempt_status status) {
    model::attempt_reply reply{attempt.request, attempt.attempt, attempt.searcher,
                               attempt.shard,   attempt.server,  status};
    if (status == model::attempt_status::ok) {
        reply.version = attempt.snapshot.version;
        reply.records = {{attempt.shard.shard.text(), "body"}};
    }
    return reply;
}

inline sub_query_batch batch_of(std::vector<model::shard_ref> shards, kernel::time_point deadline) {
    return {model::request_id::trusted("r"),
            1,
            model::searcher_id::trusted("mill"),
            {{1}, {7}},
            "query",
            deadline,
            std::move(shards)};
}

/// What an owner replies if all shards of the batch answered.
inline sub_query_result result_of(const sub_query_batch& batch) {
    sub_query_result result{batch.request, batch.batch, batch.searcher, {}};
    for (const auto& it : batch.shards) {
        result.shards.push_back({it,
                                 model::missing_reason::none,
                                 batch.snapshot.version,
                                 {{it.shard.text(), "body"}},
                                 {}});
    }
    return result;
}

}  // namespace poplarfront::routing
