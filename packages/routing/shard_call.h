#pragma once

#include <algorithm>
#include <optional>
#include <utility>
#include <vector>

#include "kernel/concepts.h"
#include "model/backend.h"
#include "model/shard_map.h"
#include "routing/routing_context.h"
#include "routing/sub_query.h"
#include "routing/transport.h"

namespace poplarfront::routing {

/// Executes one shard of a batch on the owner: sends an attempt to the best replica, hedges and
/// retries within the budget, and gives one result.
///
/// Thread safety: used on one thread. The transport, the clock and the objects of the context must
/// outlive the call.
template <kernel::clock_source Clock, shard_transport Transport>
class shard_call {
public:
    /// Attempt numbers start at `first_attempt`. At most policy.max_attempts attempts are sent,
    /// each to another replica.
    shard_call(const Clock& clock, Transport& transport, routing_context context,
               const sub_query_batch& batch, model::shard_ref shard,
               std::vector<model::server_id> replicas, std::uint32_t first_attempt)
        : clock_(clock),
          transport_(transport),
          context_(context),
          replicas_(std::move(replicas)),
          fingerprint_(fingerprint_of(batch.searcher, batch.query)),
          next_attempt_{batch.request,  first_attempt, batch.searcher, std::move(shard), {},
                        batch.snapshot, batch.query,   batch.deadline} {}

    /// Sends the first attempt.
    void start() {
        if (check_quarantine()) {
            return;
        }
        const auto server = choose_replica();
        if (!server) {
            finish(model::missing_reason::no_replica);
            return;
        }
        const auto now = clock_.now();
        context_.attempt_budget.on_primary(now);
        ++context_.counters.primaries;
        send(*server);
        hedge_at_ = now + context_.attempt_hedge.delay(next_attempt_.shard.service);
    }

    /// Handles a reply, or a failure reported by the transport. One that matches no open attempt is
    /// dropped and counted, but a drain notice in it is recorded in any case.
    void on_reply(const model::attempt_reply& reply) {
        if (reply.status == model::attempt_status::draining) {
            context_.replicas.mark_draining(reply.server, clock_.now());
        }
        const auto it = std::find_if(open_attempts_.begin(), open_attempts_.end(),
                                     [&](const auto& open) { return matches(open, reply); });
        if (result_ || it == open_attempts_.end()) {
            ++context_.counters.dropped_replies;
            return;
        }
        const auto attempt = *it;
        open_attempts_.erase(it);
        if (reply.versions) {
            context_.versions.observe(attempt.sent.server, *reply.versions);
            reported_versions_ = reply.versions;
        }
        handle_reply(attempt, reply);
        check_quarantine();
    }

    /// Must be called at the time of next_timer(); has no effect at other times, except that it
    /// ends the call if the query is quarantined.
    void on_timer() {
        if (result_ || check_quarantine()) {
            return;
        }
        const auto now = clock_.now();
        if (now >= next_attempt_.deadline) {
            finish(model::missing_reason::timed_out);
        } else if (retry_at_ && now >= *retry_at_) {
            retry();
        } else if (hedge_at_ && now >= *hedge_at_) {
            hedge();
        }
    }

    [[nodiscard]] kernel::time_point next_timer() const {
        auto next = next_attempt_.deadline;
        if (retry_at_) {
            next = std::min(next, *retry_at_);
        }
        if (hedge_at_) {
            next = std::min(next, *hedge_at_);
        }
        return next;
    }

    /// Ends the call with `reason` and cancels the open attempts.
    void abort(model::missing_reason reason) {
        if (!result_) {
            finish(reason);
        }
    }

    /// The result, once there is one.
    [[nodiscard]] const std::optional<shard_result>& result() const { return result_; }

private:
    struct open_attempt {
        model::shard_attempt sent;
        kernel::time_point sent_at;
    };

    [[nodiscard]] bool matches(const open_attempt& open, const model::attempt_reply& reply) const {
        const bool same_attempt = open.sent.attempt == reply.attempt;
        const bool same_request =
            open.sent.request == reply.request && open.sent.searcher == reply.searcher &&
            open.sent.shard == reply.shard && open.sent.server == reply.server;
        return same_attempt && (same_request || !context_.policy.match_identity);
    }

    /// Returns whether the query is quarantined, and ends the call if so.
    bool check_quarantine() {
        const bool quarantined = context_.policy.use_quarantine &&
                                 context_.quarantine.quarantined(fingerprint_, clock_.now());
        if (quarantined && !result_) {
            finish(model::missing_reason::quarantined);
        }
        return quarantined;
    }

    void handle_reply(const open_attempt& attempt, const model::attempt_reply& reply) {
        const auto now = clock_.now();
        const auto& server = attempt.sent.server;
        end_trial();
        if (reply.status == model::attempt_status::ok) {
            context_.replicas.on_answered(server, now - attempt.sent_at, reply.reported_load, now);
            accept_records(attempt, reply);
            return;
        }
        if (is_server_healthy(reply.status)) {
            context_.replicas.on_answered(server, now - attempt.sent_at, reply.reported_load, now);
        } else if (is_connection_failure(reply.status)) {
            context_.replicas.on_lost(server, now);
            context_.attempt_budget.on_failure(now);
        } else {
            context_.replicas.on_failed(server, now);
            context_.attempt_budget.on_failure(now);
        }
        last_reason_ = reason_of(reply.status);
        if (reply.status == model::attempt_status::connection_lost) {
            handle_lost_connection(server, now);
        } else if (is_retryable(reply.status)) {
            retry_if_no_open_attempt(now);
        } else {
            finish_if_no_open_attempt();
        }
    }

    /// Whether a refusal is no failure of the backend server. Such a reply is recorded as an
    /// answer.
    static bool is_server_healthy(model::attempt_status status) {
        return status == model::attempt_status::version_unavailable ||
               status == model::attempt_status::wrong_map ||
               status == model::attempt_status::bad_request;
    }

    static bool is_connection_failure(model::attempt_status status) {
        return status == model::attempt_status::connection_lost ||
               status == model::attempt_status::not_sent;
    }

    /// Whether the attempt was certainly not executed and another replica may answer it.
    static bool is_retryable(model::attempt_status status) {
        return status == model::attempt_status::shed || status == model::attempt_status::draining ||
               status == model::attempt_status::not_sent ||
               status == model::attempt_status::version_unavailable;
    }

    void accept_records(const open_attempt& attempt, const model::attempt_reply& reply) {
        if (context_.policy.match_version && reply.version != next_attempt_.snapshot.version) {
            last_reason_ = model::missing_reason::version_unavailable;
            finish_if_no_open_attempt();
            return;
        }
        context_.quarantine.on_successful_reply(fingerprint_);
        context_.attempt_hedge.observe(next_attempt_.shard.service, clock_.now() - attempt.sent_at);
        shard_result result{next_attempt_.shard, model::missing_reason::none, reply.version,
                            reply.records, reported_versions_};
        finish(std::move(result));
    }

    void handle_lost_connection(const model::server_id& server, kernel::time_point now) {
        crashed_servers_.push_back(server);
        context_.quarantine.on_crash_symptom(fingerprint_, server, now);
        if (check_quarantine()) {
            return;
        }
        if (crashed_servers_.size() > 1) {
            // After a second lost connection the shard is not retried.
            retry_at_.reset();
            finish_if_no_open_attempt();
            return;
        }
        retry_if_no_open_attempt(now);
    }

    void retry_if_no_open_attempt(kernel::time_point now) {
        // Another open attempt takes the place of the retry.
        if (!open_attempts_.empty()) {
            return;
        }
        hedge_at_.reset();
        retry_at_ = now;
        retry();
    }

    /// Sends a retry to the best replica that is left. Delays it while the budget is empty or
    /// another shard runs a trial. Ends the call, if it has no open attempt, in three cases: no
    /// replica is left; the pinned version is unavailable and the replica has dropped it; the
    /// pinned version is unavailable and the retry would be delayed.
    void retry() {
        const auto now = clock_.now();
        retry_at_.reset();
        const auto server = next_replica();
        if (!server || (is_version_unavailable() && has_dropped_version(*server))) {
            finish_if_no_open_attempt();
            return;
        }
        // The trial is started only if the budget has a token: a trial without an attempt would
        // block the retries of other shards.
        if (!context_.attempt_budget.available(now) || !try_start_trial(now)) {
            ++context_.counters.budget_denials;
            if (is_version_unavailable()) {
                // The entry instance can restart on another snapshot before the budget recovers.
                finish_if_no_open_attempt();
                return;
            }
            retry_at_ =
                now + context_.policy.retry_backoff.delay(budget_denials_++, context_.random);
            return;
        }
        context_.attempt_budget.try_take(now);
        ++context_.counters.retries;
        send(*server);
        hedge_at_ = now + context_.attempt_hedge.delay(next_attempt_.shard.service);
    }

    /// After a lost connection only one shard at a time retries the query, to find out whether the
    /// query caused the loss.
    bool try_start_trial(kernel::time_point now) {
        if (!context_.policy.use_quarantine) {
            return true;
        }
        trial_started_ =
            context_.quarantine.try_start_trial(fingerprint_, now, next_attempt_.deadline);
        return trial_started_;
    }

    void end_trial() {
        if (std::exchange(trial_started_, false)) {
            context_.quarantine.end_trial(fingerprint_);
        }
    }

    void hedge() {
        const auto now = clock_.now();
        hedge_at_ = now + context_.attempt_hedge.delay(next_attempt_.shard.service);
        const bool crash_suspected = context_.policy.use_quarantine &&
                                     !context_.quarantine.known_good(fingerprint_) &&
                                     context_.quarantine.crash_symptom_count(fingerprint_, now) > 0;
        if (crash_suspected) {
            return;
        }
        const auto server = next_replica();
        if (!server) {
            hedge_at_.reset();
            return;
        }
        if (!context_.attempt_budget.try_take(now)) {
            ++context_.counters.budget_denials;
            return;
        }
        ++context_.counters.hedges;
        hedge_at_.reset();
        send(*server);
    }

    [[nodiscard]] bool is_version_unavailable() const {
        return last_reason_ == model::missing_reason::version_unavailable;
    }

    [[nodiscard]] bool may_hold_version(const model::server_id& server) const {
        const auto held = context_.versions.held_by(server);
        return !held || held->contains(next_attempt_.snapshot.version);
    }

    /// Whether the last report of the backend server has only versions newer than the pinned one. A
    /// report with only older versions does not count: the entry instance chose the pinned version
    /// because a replica held it, so the backend server may have loaded it since.
    [[nodiscard]] bool has_dropped_version(const model::server_id& server) const {
        const auto held = context_.versions.held_by(server);
        return held && next_attempt_.snapshot.version < held->oldest;
    }

    /// The replica for another attempt; absent if none is left or `max_attempts` is reached.
    std::optional<model::server_id> next_replica() {
        return attempt_count_ < context_.policy.max_attempts ? choose_replica() : std::nullopt;
    }

    /// The best replica that is not draining and has had no attempt of this call; absent if there
    /// is none.
    std::optional<model::server_id> choose_replica() {
        const auto now = clock_.now();
        std::vector<model::server_id> candidates;
        for (const auto& it : replicas_) {
            const bool excluded =
                context_.policy.avoid_draining && context_.replicas.draining(it, now);
            if (!excluded && !was_tried(it)) {
                candidates.push_back(it);
            }
        }
        prefer_replicas_with_version(candidates);
        return context_.replicas.choose(candidates, now);
    }

    /// Removes replicas that last reported other versions than the pinned one, unless all have.
    void prefer_replicas_with_version(std::vector<model::server_id>& candidates) const {
        std::vector<model::server_id> preferred;
        for (const auto& it : candidates) {
            if (may_hold_version(it)) {
                preferred.push_back(it);
            }
        }
        if (!preferred.empty()) {
            candidates = std::move(preferred);
        }
    }

    [[nodiscard]] bool was_tried(const model::server_id& server) const {
        return std::find(tried_servers_.begin(), tried_servers_.end(), server) !=
               tried_servers_.end();
    }

    void send(const model::server_id& server) {
        auto attempt = next_attempt_;
        attempt.server = server;
        ++next_attempt_.attempt;
        ++attempt_count_;
        tried_servers_.push_back(server);
        context_.replicas.on_sent(server);
        open_attempts_.push_back({attempt, clock_.now()});
        transport_.send(attempt);
    }

    void finish_if_no_open_attempt() {
        if (!result_ && open_attempts_.empty() && !retry_at_) {
            finish(last_reason_);
        }
    }

    void finish(model::missing_reason reason) {
        finish(shard_result{next_attempt_.shard, reason, {}, {}, reported_versions_});
    }

    void finish(shard_result result) {
        std::sort(crashed_servers_.begin(), crashed_servers_.end());
        result.crash_symptom = !crashed_servers_.empty();
        result.crashed = crashed_servers_;
        result_ = std::move(result);
        end_trial();
        const auto now = clock_.now();
        for (const auto& it : std::exchange(open_attempts_, {})) {
            context_.replicas.on_cancelled(it.sent.server, now - it.sent_at, now);
            transport_.cancel(it.sent);
        }
        retry_at_.reset();
        hedge_at_.reset();
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
    routing_context context_;
    std::vector<model::server_id> replicas_;
    query_fingerprint fingerprint_;
    /// Template of the next attempt; its backend server is set when it is sent.
    model::shard_attempt next_attempt_;
    std::vector<open_attempt> open_attempts_;
    std::vector<model::server_id> tried_servers_;
    std::vector<model::server_id> crashed_servers_;
    std::uint32_t attempt_count_ = 0;
    std::uint32_t budget_denials_ = 0;
    bool trial_started_ = false;
    std::optional<kernel::time_point> hedge_at_;
    std::optional<kernel::time_point> retry_at_;
    std::optional<model::version_range> reported_versions_;
    model::missing_reason last_reason_ = model::missing_reason::no_replica;
    std::optional<shard_result> result_;
};

}  // namespace poplarfront::routing
