#pragma once

#include <optional>
#include <vector>

#include "kernel/concepts.h"
#include "model/backend.h"
#include "model/shard_map.h"
#include "routing/sub_query.h"
#include "routing/transport.h"

namespace poplarfront::routing {

/// Executes one shard of a batch on the owner: chooses a replica, sends, and gives the result.
///
/// Thread safety: used on one thread. The transport and the clock must outlive the call.
template <kernel::clock_source Clock, shard_transport Transport>
class shard_call {
public:
    /// Precondition: `replicas` is not empty. Attempt numbers start at `first_attempt`.
    shard_call(const Clock& clock, Transport& transport, const sub_query_batch& batch,
               model::shard_ref shard, std::vector<model::server_id> replicas,
               std::uint32_t first_attempt)
        : clock_(clock),
          transport_(transport),
          replicas_(std::move(replicas)),
          attempt_{batch.request,     first_attempt,  batch.searcher, std::move(shard),
                   replicas_.front(), batch.snapshot, batch.query,    batch.deadline} {}

    /// Sends the first attempt.
    void start() { transport_.send(attempt_); }

    /// Takes a reply; one that matches no open attempt is ignored.
    void on_reply(const model::attempt_reply& reply) {
        const bool matches = reply.request == attempt_.request &&
                             reply.attempt == attempt_.attempt &&
                             reply.searcher == attempt_.searcher && reply.shard == attempt_.shard;
        if (result_ || !matches) {
            return;
        }
        result_ = to_result(reply);
    }

    /// Must be called when the time of next_timer() has come.
    void on_timer() {
        if (!result_ && clock_.now() >= attempt_.deadline) {
            transport_.cancel(attempt_);
            result_ = shard_result{attempt_.shard, model::missing_reason::timed_out};
        }
    }

    [[nodiscard]] kernel::time_point next_timer() const { return attempt_.deadline; }

    /// The result, once there is one.
    [[nodiscard]] const std::optional<shard_result>& result() const { return result_; }

private:
    static shard_result to_result(const model::attempt_reply& reply) {
        shard_result result{reply.shard, reason_of(reply.status), reply.version, reply.records,
                            reply.versions};
        result.crash_symptom = reply.status == model::attempt_status::connection_lost;
        return result;
    }

    static model::missing_reason reason_of(model::attempt_status status) {
        switch (status) {
            case model::attempt_status::ok:
                return model::missing_reason::none;
            case model::attempt_status::shed:
            case model::attempt_status::draining:
                return model::missing_reason::shed;
            case model::attempt_status::version_unavailable:
                return model::missing_reason::version_unavailable;
            case model::attempt_status::wrong_map:
                return model::missing_reason::map_changed;
            case model::attempt_status::timed_out:
                return model::missing_reason::timed_out;
            case model::attempt_status::connection_lost:
                return model::missing_reason::connection_lost;
            case model::attempt_status::bad_request:
            case model::attempt_status::not_sent:
                return model::missing_reason::refused;
        }
        return model::missing_reason::refused;
    }

    const Clock& clock_;
    Transport& transport_;
    std::vector<model::server_id> replicas_;
    model::shard_attempt attempt_;
    std::optional<shard_result> result_;
};

}  // namespace poplarfront::routing
