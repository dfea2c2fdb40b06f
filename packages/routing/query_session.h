#pragma once

#include <algorithm>
#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "kernel/concepts.h"
#include "model/search.h"
#include "routing/query_plan.h"
#include "routing/routing_context.h"
#include "routing/sub_query.h"
#include "routing/transport.h"

namespace poplarfront::routing {

/// Executes one search on the entry instance: plans it, sends one batch per owner, resends batches
/// of slow or lost owners, restarts on a newer snapshot, and merges results of one snapshot into an
/// answer.
///
/// Thread safety: used on one thread. The planner, the transport, the clock and the shared objects
/// must outlive the session.
template <kernel::clock_source Clock, owner_transport Transport, query_planner Planner>
class query_session {
public:
    query_session(const Clock& clock, Transport& transport, routing_context shared,
                  Planner& planner, model::search_request request)
        : clock_(clock),
          transport_(transport),
          shared_(shared),
          planner_(planner),
          request_(std::move(request)),
          fingerprint_(fingerprint_of(request_.searcher, request_.query)) {}

    /// Sends the first batches. A quarantined query gets its answer at once, with nothing sent.
    void start() { execute(planner_.plan(request_)); }

    /// Takes the result of a batch; one that matches no open batch is dropped and counted.
    void on_result(const sub_query_result& result) {
        const auto it = std::find_if(open_.begin(), open_.end(),
                                     [&](const auto& open) { return matches(open, result); });
        if (answer_ || it == open_.end()) {
            ++shared_.counters.dropped_replies;
            return;
        }
        const auto batch = std::move(*it);
        open_.erase(it);
        const auto latency = clock_.now() - batch.sent_at;
        shared_.batch_hedge.observe(model::service_id{}, latency);
        shared_.owners.on_answered(batch.owner, clock_.now());
        for (const auto& shard : result.shards) {
            take(batch, shard);
        }
        mark_unreported(batch);
        if (!check_quarantine() && !try_restart()) {
            advance_canary();
            settle();
        }
    }

    /// Must be called when an owner is known to have failed, or a batch could not be sent to it.
    void on_owner_lost(const model::instance_id& owner) {
        if (answer_) {
            return;
        }
        const auto now = clock_.now();
        for (auto& it : open_) {
            if (it.owner == owner && !it.lost) {
                it.lost = true;
                it.resend_at = now;
                shared_.batch_budget.on_failure(now);
            }
        }
        on_timer();
    }

    /// Must be called when the time of next_timer() has come, and after the quarantine list has
    /// changed; harmless at other times.
    void on_timer() {
        if (answer_ || check_quarantine()) {
            return;
        }
        if (clock_.now() >= request_.deadline) {
            finish();
            return;
        }
        if (restart_until_ && clock_.now() >= next_poll_ && try_restart()) {
            return;
        }
        if (canary_until_ && clock_.now() >= *canary_until_) {
            on_canary_late();
        }
        resend_late();
        settle();
    }

    [[nodiscard]] kernel::time_point next_timer() const {
        auto next = request_.deadline;
        if (canary_until_) {
            next = std::min(next, *canary_until_);
        }
        if (restart_until_) {
            next = std::min(next, next_poll_);
        }
        for (const auto& it : open_) {
            next = std::min(next, it.resend_at.value_or(next));
        }
        return next;
    }

    /// The answer, once there is one.
    [[nodiscard]] const std::optional<model::search_answer>& answer() const { return answer_; }

private:
    struct group_state {
        shard_group group;
        /// Index of the owner to send to next.
        std::size_t next_owner = 0;
        bool sent = false;
    };

    struct open_batch {
        model::instance_id owner;
        sub_query_batch batch;
        std::vector<std::size_t> groups;
        kernel::time_point sent_at;
        /// When the batch is sent to the next owners as well; absent after that.
        std::optional<kernel::time_point> resend_at;
        bool lost = false;
    };

    [[nodiscard]] bool matches(const open_batch& open, const sub_query_result& result) const {
        const bool same_owner =
            open.batch.request == result.request && open.batch.searcher == result.searcher;
        return open.batch.batch == result.batch && (same_owner || !shared_.policy.match_identity);
    }

    void execute(query_plan plan) {
        snapshot_ = plan.snapshot;
        tried_pins_.insert(snapshot_);
        groups_.clear();
        results_.clear();
        shards_.clear();
        restart_until_.reset();
        canary_until_.reset();
        for (auto& it : plan.groups) {
            shards_.insert(shards_.end(), it.shards.begin(), it.shards.end());
            it.owners = shared_.owners.sorted_by_preference(std::move(it.owners), clock_.now());
            groups_.push_back({std::move(it)});
        }
        std::sort(shards_.begin(), shards_.end());
        if (check_quarantine()) {
            return;
        }
        if (wants_canary()) {
            send_canary();
        } else {
            send_rest();
        }
        settle();
    }

    [[nodiscard]] bool suspected() const {
        return !shared_.quarantine.known_good(fingerprint_) &&
               shared_.quarantine.crash_symptom_count(fingerprint_, clock_.now()) > 0;
    }

    [[nodiscard]] bool wants_canary() const {
        if (!shared_.policy.use_quarantine || shared_.quarantine.known_good(fingerprint_)) {
            return false;
        }
        return shards_.size() >= shared_.policy.min_shards_for_canary ||
               (shards_.size() > 1 && suspected());
    }

    /// Sends one shard that was not sent before, as a group of its own.
    void send_canary() {
        const auto unsent = std::find_if(groups_.begin(), groups_.end(), [](const auto& it) {
            return !it.sent && !it.group.shards.empty();
        });
        if (unsent == groups_.end()) {
            return;
        }
        auto& shards = unsent->group.shards;
        auto canary = *unsent;
        // Canaries of different queries go to different shards.
        const auto position = fingerprint_ % shards.size();
        canary.group.shards = {shards[position]};
        shards.erase(shards.begin() + static_cast<std::ptrdiff_t>(position));
        groups_.push_back(std::move(canary));
        canary_group_ = groups_.size() - 1;
        canary_until_ = clock_.now() + shared_.policy.canary_timeout;
        ++shared_.counters.canaries;
        send_groups({canary_group_}, false);
    }

    /// Goes on when the canary has ended: with the rest, or, if its backend server was lost, with
    /// another canary.
    void advance_canary() {
        if (!canary_until_) {
            return;
        }
        const auto& canary = groups_[canary_group_].group.shards.front();
        if (!ended(canary)) {
            return;
        }
        canary_until_.reset();
        if (suspected()) {
            send_canary();
        } else {
            send_rest();
        }
    }

    void on_canary_late() {
        if (suspected()) {
            // A crash was reported: its owner is trying another replica.
            canary_until_ = clock_.now() + shared_.policy.canary_timeout;
            return;
        }
        canary_until_.reset();
        send_rest();
    }

    void send_rest() {
        std::vector<std::size_t> unsent;
        for (std::size_t it = 0; it < groups_.size(); ++it) {
            if (!groups_[it].sent && !groups_[it].group.shards.empty()) {
                unsent.push_back(it);
            }
        }
        send_groups(unsent, false);
    }

    /// Sends each group to its next owner, one batch per owner. Groups without one are skipped.
    void send_groups(const std::vector<std::size_t>& groups, bool resend) {
        const auto batches = by_next_owner(groups);
        for (const auto it : groups) {
            groups_[it].sent = true;
            ++groups_[it].next_owner;
        }
        for (const auto& [owner, indexes] : batches) {
            send_batch(owner, indexes, resend);
        }
    }

    /// The groups that have a next owner, by that owner.
    [[nodiscard]] std::map<model::instance_id, std::vector<std::size_t>> by_next_owner(
        const std::vector<std::size_t>& groups) const {
        std::map<model::instance_id, std::vector<std::size_t>> by_owner;
        for (const auto it : groups) {
            const auto& group = groups_[it];
            if (group.next_owner < group.group.owners.size()) {
                by_owner[group.group.owners[group.next_owner]].push_back(it);
            }
        }
        return by_owner;
    }

    void send_batch(const model::instance_id& owner, const std::vector<std::size_t>& indexes,
                    bool resend) {
        const auto now = clock_.now();
        sub_query_batch batch{
            request_.request, next_batch_, request_.searcher, snapshot_, request_.query,
            owner_deadline(), {}};
        ++next_batch_;
        for (const auto it : indexes) {
            for (const auto& shard : groups_[it].group.shards) {
                if (!covered(shard)) {
                    batch.shards.push_back(shard);
                }
            }
        }
        std::sort(batch.shards.begin(), batch.shards.end());
        if (!resend) {
            shared_.batch_budget.on_primary(now);
            ++shared_.counters.batches;
        }
        const auto resend_at = now + shared_.batch_hedge.delay(model::service_id{});
        open_.push_back({owner, batch, indexes, now, resend_at});
        shared_.owners.on_sent(owner);
        transport_.send(owner, batch);
    }

    [[nodiscard]] kernel::time_point owner_deadline() const {
        constexpr int largest_part = 10;
        const auto remaining = request_.deadline - clock_.now();
        return request_.deadline -
               std::min(shared_.policy.owner_deadline_margin, remaining / largest_part);
    }

    /// Sends the unfinished groups of late batches to their next owners, within the budget.
    void resend_late() {
        const auto now = clock_.now();
        std::vector<std::size_t> again;
        for (auto& it : open_) {
            if (!it.resend_at || now < *it.resend_at) {
                continue;
            }
            shared_.owners.on_overdue(it.owner, now);
            it.resend_at.reset();
            for (const auto& [owner, groups] : by_next_owner(resendable(it))) {
                if (take_token(it, now)) {
                    ++shared_.counters.batch_resends;
                    again.insert(again.end(), groups.begin(), groups.end());
                } else {
                    ++shared_.counters.budget_denials;
                    it.resend_at =
                        now + shared_.policy.retry_backoff.delay(denials_++, shared_.random);
                }
            }
        }
        std::sort(again.begin(), again.end());
        again.erase(std::unique(again.begin(), again.end()), again.end());
        send_groups(again, true);
        std::erase_if(open_, [&](const auto& it) {
            const bool given_up = it.lost && !it.resend_at;
            if (given_up) {
                shared_.owners.on_ended(it.owner);
            }
            return given_up;
        });
    }

    bool take_token(const open_batch& batch, kernel::time_point now) {
        return has_lost_owner(batch, now) ? shared_.batch_budget.try_take_reserved(now)
                                          : shared_.batch_budget.try_take(now);
    }

    [[nodiscard]] bool has_lost_owner(const open_batch& batch, kernel::time_point now) const {
        return batch.lost || (now - batch.sent_at >= shared_.policy.failover_after &&
                              shared_.owners.unresponsive_since(batch.owner, batch.sent_at));
    }

    [[nodiscard]] std::vector<std::size_t> resendable(const open_batch& batch) const {
        std::vector<std::size_t> found;
        for (const auto it : batch.groups) {
            const auto& group = groups_[it];
            const bool unfinished = !all_covered(group.group.shards);
            if (unfinished && group.next_owner < group.group.owners.size()) {
                found.push_back(it);
            }
        }
        return found;
    }

    /// Takes the result of one shard; a covered one replaces a missing one.
    void take(const open_batch& batch, const shard_result& result) {
        const auto& asked = batch.batch.shards;
        if (!std::binary_search(asked.begin(), asked.end(), result.shard)) {
            return;
        }
        const auto now = clock_.now();
        if (result.versions) {
            shared_.versions.observe(result.shard, *result.versions);
        }
        for (const auto& server : result.crashed) {
            shared_.quarantine.on_crash_symptom(fingerprint_, server, now);
        }
        if (result.reason == model::missing_reason::quarantined) {
            shared_.quarantine.merge({fingerprint_, {}, true}, now);
        }
        if (result.reason == model::missing_reason::none) {
            shared_.quarantine.on_complete_reply(fingerprint_);
        }
        if (!covered(result.shard)) {
            results_.insert_or_assign(result.shard, checked(result));
        }
    }

    /// A result of another version than the pinned one is not used.
    [[nodiscard]] shard_result checked(const shard_result& result) const {
        const bool other_version =
            result.reason == model::missing_reason::none && result.version != snapshot_.version;
        if (other_version && shared_.policy.match_version) {
            return {result.shard, model::missing_reason::version_unavailable, {}, {}, {}};
        }
        return result;
    }

    void mark_unreported(const open_batch& batch) {
        for (const auto& shard : batch.batch.shards) {
            if (!results_.contains(shard)) {
                results_.emplace(shard, shard_result{shard, model::missing_reason::owner_lost});
            }
        }
    }

    [[nodiscard]] bool all_covered(const std::vector<model::shard_ref>& shards) const {
        return std::all_of(shards.begin(), shards.end(),
                           [&](const auto& it) { return covered(it); });
    }

    [[nodiscard]] bool covered(const model::shard_ref& shard) const {
        const auto it = results_.find(shard);
        return it != results_.end() && it->second.reason == model::missing_reason::none;
    }

    /// Ends the query if it was quarantined meanwhile.
    bool check_quarantine() {
        const bool quarantined = shared_.policy.use_quarantine &&
                                 shared_.quarantine.quarantined(fingerprint_, clock_.now());
        if (!quarantined) {
            return false;
        }
        for (const auto& shard : shards_) {
            if (!covered(shard)) {
                results_.insert_or_assign(shard,
                                          shard_result{shard, model::missing_reason::quarantined});
            }
        }
        finish();
        return true;
    }

    [[nodiscard]] bool pin_refused() const {
        return std::any_of(results_.begin(), results_.end(), [](const auto& it) {
            return it.second.reason == model::missing_reason::version_unavailable ||
                   it.second.reason == model::missing_reason::map_changed;
        });
    }

    [[nodiscard]] bool lacks_replica() const {
        return std::any_of(results_.begin(), results_.end(), [](const auto& it) {
            return it.second.reason == model::missing_reason::no_replica;
        });
    }

    /// Starts the whole query again if its pin cannot be served and there is one not yet tried. An
    /// owner with a newer map reports a shard that was removed as one without replicas.
    bool try_restart() {
        const auto now = clock_.now();
        const bool refused = pin_refused();
        next_poll_ = now + shared_.policy.restart_poll_interval;
        if ((!refused && !lacks_replica()) || restarts_ >= shared_.policy.max_restarts) {
            return false;
        }
        auto plan = planner_.plan(request_);
        const bool older_map = plan.snapshot.map_revision < snapshot_.map_revision;
        const bool same_map = plan.snapshot.map_revision == snapshot_.map_revision;
        if (older_map || (same_map && !refused) || tried_pins_.contains(plan.snapshot) ||
            now >= owner_deadline()) {
            return false;
        }
        ++restarts_;
        ++shared_.counters.restarts;
        cancel_open();
        execute(std::move(plan));
        return true;
    }

    /// Ends the query once nothing more can arrive.
    void settle() {
        if (answer_ || canary_until_) {
            return;
        }
        const bool waiting = std::any_of(open_.begin(), open_.end(), [&](const auto& it) {
            return !all_covered(it.batch.shards);
        });
        if (waiting) {
            return;
        }
        const auto now = clock_.now();
        if (pin_refused() && restarts_ < shared_.policy.max_restarts) {
            if (!restart_until_) {
                restart_until_ = now + shared_.policy.restart_timeout;
                next_poll_ = now + shared_.policy.restart_poll_interval;
            }
            if (now < *restart_until_) {
                return;
            }
        }
        finish();
    }

    [[nodiscard]] bool ended(const model::shard_ref& shard) const {
        return covered(shard) || std::none_of(open_.begin(), open_.end(), [&](const auto& it) {
                   const auto& asked = it.batch.shards;
                   return std::binary_search(asked.begin(), asked.end(), shard);
               });
    }

    void cancel_open() {
        for (const auto& it : std::exchange(open_, {})) {
            shared_.owners.on_ended(it.owner);
            transport_.cancel(it.owner, it.batch);
        }
    }

    void finish() {
        model::search_answer answer{request_.request, request_.searcher, snapshot_, {}, {}};
        for (const auto& shard : shards_) {
            const auto it = results_.find(shard);
            if (it != results_.end()) {
                merge(it->second, answer);
            } else if (shared_.policy.report_missing) {
                answer.shards.push_back({shard, reason_without_result(shard)});
            }
        }
        std::sort(answer.records.begin(), answer.records.end());
        answer_ = std::move(answer);
        canary_until_.reset();
        cancel_open();
    }

    [[nodiscard]] model::missing_reason reason_without_result(const model::shard_ref& shard) const {
        const bool timed_out = !ended(shard) || clock_.now() >= request_.deadline;
        return timed_out ? model::missing_reason::timed_out : model::missing_reason::owner_lost;
    }

    void merge(const shard_result& result, model::search_answer& answer) const {
        if (result.reason == model::missing_reason::none) {
            answer.records.insert(answer.records.end(), result.records.begin(),
                                  result.records.end());
        }
        if (result.reason == model::missing_reason::none || shared_.policy.report_missing) {
            answer.shards.push_back({result.shard, result.reason});
        }
    }

    const Clock& clock_;
    Transport& transport_;
    routing_context shared_;
    Planner& planner_;
    model::search_request request_;
    query_fingerprint fingerprint_;

    model::pinned_snapshot snapshot_;
    std::set<model::pinned_snapshot> tried_pins_;
    std::uint32_t restarts_ = 0;
    std::vector<group_state> groups_;
    std::vector<model::shard_ref> shards_;
    std::map<model::shard_ref, shard_result> results_;
    std::vector<open_batch> open_;
    std::uint32_t next_batch_ = 1;
    std::uint32_t denials_ = 0;
    /// Set while the rest of the shards waits for the canary.
    std::optional<kernel::time_point> canary_until_;
    std::size_t canary_group_ = 0;
    /// Set while the query waits for a pin that can be served.
    std::optional<kernel::time_point> restart_until_;
    kernel::time_point next_poll_;
    std::optional<model::search_answer> answer_;
};

}  // namespace poplarfront::routing
