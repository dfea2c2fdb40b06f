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

/// Executes one shard of a batch on the owner: chooses a replica, sends, hedges and retries within
/// the budget, and gives one result.
///
/// Thread safety: used on one thread. The transport, the clock and the shared objects must outlive
/// the call.
template <kernel::clock_source Clock, shard_transport Transport>
class shard_call {
public:
    /// Attempt numbers start at `first_attempt`; at most policy.max_attempts are used, each on a
    /// replica of its own.
    shard_call(const Clock& clock, Transport& transport, routing_context shared,
               const sub_query_batch& batch, model::shard_ref shard,
               std::vector<model::server_id> replicas, std::uint32_t first_attempt)
        : clock_(clock),
          transport_(transport),
          shared_(shared),
          replicas_(std::move(replicas)),
          fingerprint_(fingerprint_of(batch.searcher, batch.query)),
          next_{batch.request,  first_attempt, batch.searcher, std::move(shard), {},
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
        shared_.attempt_budget.on_primary(now);
        ++shared_.counters.primaries;
        send(*server);
        hedge_at_ = now + shared_.attempt_hedge.delay(next_.shard.service);
    }

    /// Takes a reply, or a failure that the transport observed. One that matches no open attempt is
    /// dropped and counted.
    void on_reply(const model::attempt_reply& reply) {
        if (reply.status == model::attempt_status::draining) {
            shared_.replicas.mark_draining(reply.server, clock_.now());
        }
        const auto it = std::find_if(open_.begin(), open_.end(),
                                     [&](const auto& open) { return matches(open, reply); });
        if (result_ || it == open_.end()) {
            ++shared_.counters.dropped_replies;
            return;
        }
        const auto attempt = *it;
        open_.erase(it);
        if (reply.versions) {
            shared_.versions.observe(attempt.sent.server, *reply.versions);
            versions_ = reply.versions;
        }
        handle(attempt, reply);
        check_quarantine();
    }

    /// Must be called when the time of next_timer() has come; harmless at other times.
    void on_timer() {
        if (result_ || check_quarantine()) {
            return;
        }
        const auto now = clock_.now();
        if (now >= next_.deadline) {
            finish(model::missing_reason::timed_out);
        } else if (retry_at_ && now >= *retry_at_) {
            retry();
        } else if (hedge_at_ && now >= *hedge_at_) {
            hedge();
        }
    }

    [[nodiscard]] kernel::time_point next_timer() const {
        auto next = next_.deadline;
        if (retry_at_) {
            next = std::min(next, *retry_at_);
        }
        if (hedge_at_) {
            next = std::min(next, *hedge_at_);
        }
        return next;
    }

    /// Ends the call without a reply and cancels the open attempts.
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
        const bool same_owner = open.sent.request == reply.request &&
                                open.sent.searcher == reply.searcher &&
                                open.sent.shard == reply.shard && open.sent.server == reply.server;
        return same_attempt && (same_owner || !shared_.policy.match_identity);
    }

    /// Ends the call if the query was quarantined meanwhile.
    bool check_quarantine() {
        const bool quarantined = shared_.policy.use_quarantine &&
                                 shared_.quarantine.quarantined(fingerprint_, clock_.now());
        if (quarantined && !result_) {
            finish(model::missing_reason::quarantined);
        }
        return quarantined;
    }

    void handle(const open_attempt& attempt, const model::attempt_reply& reply) {
        const auto now = clock_.now();
        const auto& server = attempt.sent.server;
        end_trial();
        if (reply.status == model::attempt_status::ok) {
            shared_.replicas.on_answered(server, now - attempt.sent_at, reply.reported_load, now);
            take_records(attempt, reply);
            return;
        }
        if (says_nothing_about_health(reply.status)) {
            shared_.replicas.on_answered(server, now - attempt.sent_at, reply.reported_load, now);
        } else if (lost(reply.status)) {
            shared_.replicas.on_lost(server, now);
            shared_.attempt_budget.on_failure(now);
        } else {
            shared_.replicas.on_failed(server, now);
            shared_.attempt_budget.on_failure(now);
        }
        last_reason_ = reason_of(reply.status);
        if (reply.status == model::attempt_status::connection_lost) {
            take_crash_symptom(server, now);
        } else if (can_try_again(reply.status)) {
            want_retry(now);
        } else {
            finish_if_nothing_open();
        }
    }

    static bool says_nothing_about_health(model::attempt_status status) {
        return status == model::attempt_status::version_unavailable ||
               status == model::attempt_status::wrong_map ||
               status == model::attempt_status::bad_request;
    }

    static bool lost(model::attempt_status status) {
        return status == model::attempt_status::connection_lost ||
               status == model::attempt_status::not_sent;
    }

    /// Whether another replica may answer what this one certainly did not execute.
    static bool can_try_again(model::attempt_status status) {
        return status == model::attempt_status::shed || status == model::attempt_status::draining ||
               status == model::attempt_status::not_sent ||
               status == model::attempt_status::version_unavailable;
    }

    void take_records(const open_attempt& attempt, const model::attempt_reply& reply) {
        if (shared_.policy.match_version && reply.version != next_.snapshot.version) {
            last_reason_ = model::missing_reason::version_unavailable;
            finish_if_nothing_open();
            return;
        }
        shared_.quarantine.on_complete_reply(fingerprint_);
        shared_.attempt_hedge.observe(next_.shard.service, clock_.now() - attempt.sent_at);
        shard_result result{next_.shard, model::missing_reason::none, reply.version, reply.records,
                            versions_};
        finish(std::move(result));
    }

    void take_crash_symptom(const model::server_id& server, kernel::time_point now) {
        crashed_.push_back(server);
        shared_.quarantine.on_crash_symptom(fingerprint_, server, now);
        if (check_quarantine()) {
            return;
        }
        if (crashed_.size() > 1) {
            // A lost read is retried at most once.
            retry_at_.reset();
            finish_if_nothing_open();
            return;
        }
        want_retry(now);
    }

    void want_retry(kernel::time_point now) {
        // An open hedge already is the second try.
        if (!open_.empty()) {
            return;
        }
        hedge_at_.reset();
        retry_at_ = now;
        retry();
    }

    /// Sends a retry, puts it off while the budget is empty, or gives up if no replica is left.
    void retry() {
        const auto now = clock_.now();
        retry_at_.reset();
        const auto server = next_replica();
        if (!server || (pin_refused() && has_dropped_pin(*server))) {
            finish_if_nothing_open();
            return;
        }
        // The trial is taken last: one that could not start would block later ones.
        if (!shared_.attempt_budget.available(now) || !may_send_after_crash(now)) {
            ++shared_.counters.budget_denials;
            if (pin_refused()) {
                // The entry instance can restart on another pin sooner than the budget recovers.
                finish_if_nothing_open();
                return;
            }
            retry_at_ = now + shared_.policy.retry_backoff.delay(denials_++, shared_.random);
            return;
        }
        shared_.attempt_budget.try_take(now);
        ++shared_.counters.retries;
        send(*server);
        hedge_at_ = now + shared_.attempt_hedge.delay(next_.shard.service);
    }

    /// After a lost connection only one shard at a time tests whether the query is to blame.
    bool may_send_after_crash(kernel::time_point now) {
        if (!shared_.policy.use_quarantine) {
            return true;
        }
        holds_trial_ = shared_.quarantine.try_start_trial(fingerprint_, now, next_.deadline);
        return holds_trial_;
    }

    void end_trial() {
        if (std::exchange(holds_trial_, false)) {
            shared_.quarantine.end_trial(fingerprint_);
        }
    }

    void hedge() {
        const auto now = clock_.now();
        hedge_at_ = now + shared_.attempt_hedge.delay(next_.shard.service);
        const bool suspected = shared_.policy.use_quarantine &&
                               !shared_.quarantine.known_good(fingerprint_) &&
                               shared_.quarantine.crash_symptom_count(fingerprint_, now) > 0;
        if (suspected) {
            return;
        }
        const auto server = next_replica();
        if (!server) {
            hedge_at_.reset();
            return;
        }
        if (!shared_.attempt_budget.try_take(now)) {
            ++shared_.counters.budget_denials;
            return;
        }
        ++shared_.counters.hedges;
        hedge_at_.reset();
        send(*server);
    }

    [[nodiscard]] bool pin_refused() const {
        return last_reason_ == model::missing_reason::version_unavailable;
    }

    [[nodiscard]] bool may_hold_pin(const model::server_id& server) const {
        const auto held = shared_.versions.held_by(server);
        return !held || held->contains(next_.snapshot.version);
    }

    /// Whether the backend server only holds newer versions. One last seen with older versions may
    /// have caught up: the entry instance knew a replica with the pinned version.
    [[nodiscard]] bool has_dropped_pin(const model::server_id& server) const {
        const auto held = shared_.versions.held_by(server);
        return held && next_.snapshot.version < held->oldest;
    }

    /// The replica for another attempt, if there may be one.
    std::optional<model::server_id> next_replica() {
        return sent_count_ < shared_.policy.max_attempts ? choose_replica() : std::nullopt;
    }

    /// A replica that was not tried for this shard and may take new work.
    std::optional<model::server_id> choose_replica() {
        const auto now = clock_.now();
        std::vector<model::server_id> candidates;
        for (const auto& it : replicas_) {
            const bool avoided =
                shared_.policy.avoid_draining && shared_.replicas.draining(it, now);
            if (!avoided && !tried(it)) {
                candidates.push_back(it);
            }
        }
        prefer_holders(candidates);
        return shared_.replicas.choose(candidates, now);
    }

    /// Leaves out replicas believed not to hold the pinned version, if others remain.
    void prefer_holders(std::vector<model::server_id>& candidates) const {
        std::vector<model::server_id> holders;
        for (const auto& it : candidates) {
            if (may_hold_pin(it)) {
                holders.push_back(it);
            }
        }
        if (!holders.empty()) {
            candidates = std::move(holders);
        }
    }

    [[nodiscard]] bool tried(const model::server_id& server) const {
        return std::find(tried_.begin(), tried_.end(), server) != tried_.end();
    }

    void send(const model::server_id& server) {
        auto attempt = next_;
        attempt.server = server;
        ++next_.attempt;
        ++sent_count_;
        tried_.push_back(server);
        shared_.replicas.on_sent(server);
        open_.push_back({attempt, clock_.now()});
        transport_.send(attempt);
    }

    void finish_if_nothing_open() {
        if (!result_ && open_.empty() && !retry_at_) {
            finish(last_reason_);
        }
    }

    void finish(model::missing_reason reason) {
        finish(shard_result{next_.shard, reason, {}, {}, versions_});
    }

    void finish(shard_result result) {
        std::sort(crashed_.begin(), crashed_.end());
        result.crash_symptom = !crashed_.empty();
        result.crashed = crashed_;
        result_ = std::move(result);
        end_trial();
        const auto now = clock_.now();
        for (const auto& it : std::exchange(open_, {})) {
            shared_.replicas.on_cancelled(it.sent.server, now - it.sent_at, now);
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
    routing_context shared_;
    std::vector<model::server_id> replicas_;
    query_fingerprint fingerprint_;
    /// The next attempt, without its backend server.
    model::shard_attempt next_;
    std::vector<open_attempt> open_;
    std::vector<model::server_id> tried_;
    std::vector<model::server_id> crashed_;
    std::uint32_t sent_count_ = 0;
    std::uint32_t denials_ = 0;
    bool holds_trial_ = false;
    std::optional<kernel::time_point> hedge_at_;
    std::optional<kernel::time_point> retry_at_;
    std::optional<model::version_range> versions_;
    model::missing_reason last_reason_ = model::missing_reason::no_replica;
    std::optional<shard_result> result_;
};

}  // namespace poplarfront::routing
