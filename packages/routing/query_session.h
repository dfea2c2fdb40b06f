#pragma once

#include <algorithm>
#include <map>
#include <optional>
#include <vector>

#include "kernel/concepts.h"
#include "model/search.h"
#include "routing/sub_query.h"
#include "routing/transport.h"

namespace poplarfront::routing {

/// Executes one search on the entry instance: sends the shards to owners and merges the results of
/// one snapshot into an answer.
///
/// Thread safety: used on one thread. The transport and the clock must outlive the session.
template <kernel::clock_source Clock, owner_transport Transport>
class query_session {
public:
    /// Precondition: `shards` is sorted, and `owner` may execute all of them.
    query_session(const Clock& clock, Transport& transport, model::search_request request,
                  model::pin snapshot, std::vector<model::shard_ref> shards,
                  model::instance_id owner)
        : clock_(clock),
          transport_(transport),
          request_(std::move(request)),
          owner_(std::move(owner)),
          batch_{
              request_.request, 1, request_.searcher, snapshot, request_.query, request_.deadline,
              std::move(shards)} {}

    void start() { transport_.send(owner_, batch_); }

    /// Takes the result of a batch; one that matches no open batch is ignored.
    void on_result(const sub_query_result& result) {
        const bool matches = result.request == batch_.request && result.batch == batch_.batch &&
                             result.searcher == batch_.searcher;
        if (!answer_ && matches) {
            finish(result.shards);
        }
    }

    /// Must be called when the time of next_timer() has come.
    void on_timer() {
        if (!answer_ && clock_.now() >= batch_.deadline) {
            transport_.cancel(owner_, batch_);
            finish({});
        }
    }

    [[nodiscard]] kernel::time_point next_timer() const { return batch_.deadline; }

    /// The answer, once there is one.
    [[nodiscard]] const std::optional<model::search_answer>& answer() const { return answer_; }

private:
    void finish(const std::vector<shard_result>& results) {
        std::map<model::shard_ref, const shard_result*> by_shard;
        for (const auto& it : results) {
            by_shard.emplace(it.shard, &it);
        }
        model::search_answer answer{request_.request, request_.searcher, batch_.snapshot, {}, {}};
        for (const auto& shard : batch_.shards) {
            const auto it = by_shard.find(shard);
            if (it == by_shard.end()) {
                answer.shards.push_back({shard, model::missing_reason::timed_out});
            } else {
                add(*it->second, answer);
            }
        }
        std::sort(answer.records.begin(), answer.records.end());
        answer_ = std::move(answer);
    }

    void add(const shard_result& result, model::search_answer& answer) const {
        const bool covered = result.reason == model::missing_reason::none;
        if (covered && result.version != batch_.snapshot.version) {
            answer.shards.push_back({result.shard, model::missing_reason::version_unavailable});
            return;
        }
        answer.shards.push_back({result.shard, result.reason});
        if (covered) {
            answer.records.insert(answer.records.end(), result.records.begin(),
                                  result.records.end());
        }
    }

    const Clock& clock_;
    Transport& transport_;
    model::search_request request_;
    model::instance_id owner_;
    sub_query_batch batch_;
    std::optional<model::search_answer> answer_;
};

}  // namespace poplarfront::routing
