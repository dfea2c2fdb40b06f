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
/// of slow or lost owners, restarts on another snapshot if needed, and merges the results of one
/// snapshot into an answer.
///
/// Thread safety: used on one thread. The planner, the transport, the clock and the objects of the
/// context must outlive the session.
template <kernel::clock_source Clock, owner_transport Transport, query_planner Planner>
class query_session {
public:
    query_session(const Clock& clock, Transport& transport, routing_context context,
                  Planner& planner, model::search_request request)
        : clock_(clock),
          transport_(transport),
          context_(context),
          planner_(planner),
          request_(std::move(request)),
          fingerprint_(fingerprint_of(request_.searcher, request_.query)) {}

    /// Sends the first batches. A quarantined query is answered at once and nothing is sent.
    void start() { execute(planner_.plan(request_)); }

    /// Handles the result of a batch; one that matches no open batch is dropped and counted.
    void on_result(const sub_query_result& result) {
        const auto it = std::find_if(open_batches_.begin(), open_batches_.end(),
                                     [&](const auto& open) { return matches(open, result); });
        if (answer_ || it == open_batches_.end()) {
            ++context_.counters.dropped_replies;
            return;
        }
        const auto batch = std::move(*it);
        open_batches_.erase(it);
        const auto latency = clock_.now() - batch.sent_at;
        // A batch can span services, so all batches share the estimate of the empty service id.
        context_.batch_hedge.observe(model::service_id{}, latency);
        context_.owners.on_answered(batch.owner, clock_.now());
        for (const auto& shard : result.shards) {
            add_result(batch, shard);
        }
        mark_unreported(batch);
        if (!check_quarantine() && !try_restart()) {
            continue_after_canary();
            finish_if_done();
        }
    }

    /// Must be called when an owner has failed or a batch could not be sent to it.
    void on_owner_lost(const model::instance_id& owner) {
        if (answer_) {
            return;
        }
        const auto now = clock_.now();
        for (auto& it : open_batches_) {
            if (it.owner == owner && !it.lost) {
                it.lost = true;
                it.resend_at = now;
                context_.batch_budget.on_failure(now);
            }
        }
        on_timer();
    }

    /// Must be called at the time of next_timer() and after a change of the quarantined queries;
    /// has no effect at other times.
    void on_timer() {
        if (answer_ || check_quarantine()) {
            return;
        }
        if (clock_.now() >= request_.deadline) {
            finish();
            return;
        }
        if (restart_deadline_ && clock_.now() >= next_restart_poll_ && try_restart()) {
            return;
        }
        if (canary_deadline_ && clock_.now() >= *canary_deadline_) {
            on_canary_timeout();
        }
        resend_overdue();
        finish_if_done();
    }

    [[nodiscard]] kernel::time_point next_timer() const {
        auto next = request_.deadline;
        if (canary_deadline_) {
            next = std::min(next, *canary_deadline_);
        }
        if (restart_deadline_) {
            next = std::min(next, next_restart_poll_);
        }
        for (const auto& it : open_batches_) {
            next = std::min(next, it.resend_at.value_or(next));
        }
        return next;
    }

    /// The answer, once there is one.
    [[nodiscard]] const std::optional<model::search_answer>& answer() const { return answer_; }

private:
    struct group_state {
        shard_group group;
        /// Index of the owner that gets the next batch of this group.
        std::size_t next_owner = 0;
        bool sent = false;
    };

    struct open_batch {
        model::instance_id owner;
        sub_query_batch batch;
        /// Indexes into `groups_`.
        std::vector<std::size_t> groups;
        kernel::time_point sent_at;
        /// When the unfinished groups are sent to their next owners; absent once they are sent or
        /// if none has a next owner.
        std::optional<kernel::time_point> resend_at;
        bool lost = false;
    };

    [[nodiscard]] bool matches(const open_batch& open, const sub_query_result& result) const {
        const bool same_request =
            open.batch.request == result.request && open.batch.searcher == result.searcher;
        return open.batch.batch == result.batch &&
               (same_request || !context_.policy.match_identity);
    }

    void execute(query_plan plan) {
        snapshot_ = plan.snapshot;
        tried_snapshots_.insert(snapshot_);
        groups_.clear();
        results_.clear();
        shards_.clear();
        restart_deadline_.reset();
        canary_deadline_.reset();
        for (auto& it : plan.groups) {
            shards_.insert(shards_.end(), it.shards.begin(), it.shards.end());
            it.owners = context_.owners.sorted_by_preference(std::move(it.owners), clock_.now());
            groups_.push_back({std::move(it)});
        }
        std::sort(shards_.begin(), shards_.end());
        if (check_quarantine()) {
            return;
        }
        if (needs_canary()) {
            send_canary();
        } else {
            send_remaining();
        }
        finish_if_done();
    }

    [[nodiscard]] bool is_crash_suspected() const {
        return !context_.quarantine.known_good(fingerprint_) &&
               context_.quarantine.crash_symptom_count(fingerprint_, clock_.now()) > 0;
    }

    [[nodiscard]] bool needs_canary() const {
        if (!context_.policy.use_quarantine || context_.quarantine.known_good(fingerprint_)) {
            return false;
        }
        return shards_.size() >= context_.policy.min_shards_for_canary ||
               (shards_.size() > 1 && is_crash_suspected());
    }

    /// Sends one unsent shard, as a group of its own.
    void send_canary() {
        const auto unsent = std::find_if(groups_.begin(), groups_.end(), [](const auto& it) {
            return !it.sent && !it.group.shards.empty();
        });
        if (unsent == groups_.end()) {
            return;
        }
        auto& shards = unsent->group.shards;
        auto canary = *unsent;
        // The fingerprint selects the shard, so that canaries of different queries use different
        // shards.
        const auto position = fingerprint_ % shards.size();
        canary.group.shards = {shards[position]};
        shards.erase(shards.begin() + static_cast<std::ptrdiff_t>(position));
        groups_.push_back(std::move(canary));
        canary_group_ = groups_.size() - 1;
        canary_deadline_ = clock_.now() + context_.policy.canary_timeout;
        ++context_.counters.canaries;
        send_groups({canary_group_}, false);
    }

    /// Once the canary has finished, sends the remaining groups, or another canary if the
    /// query has crash symptoms.
    void continue_after_canary() {
        if (!canary_deadline_) {
            return;
        }
        const auto& canary = groups_[canary_group_].group.shards.front();
        if (!is_finished(canary)) {
            return;
        }
        canary_deadline_.reset();
        if (is_crash_suspected()) {
            send_canary();
        } else {
            send_remaining();
        }
    }

    void on_canary_timeout() {
        if (is_crash_suspected()) {
            // The query has crash symptoms, and the owner of the canary may be trying another
            // replica. The other shards keep waiting.
            canary_deadline_ = clock_.now() + context_.policy.canary_timeout;
            return;
        }
        canary_deadline_.reset();
        send_remaining();
    }

    void send_remaining() {
        std::vector<std::size_t> unsent;
        for (std::size_t index = 0; index < groups_.size(); ++index) {
            if (!groups_[index].sent && !groups_[index].group.shards.empty()) {
                unsent.push_back(index);
            }
        }
        send_groups(unsent, false);
    }

    /// Sends each group to its next owner, one batch per owner. Groups without a next owner are
    /// skipped.
    void send_groups(const std::vector<std::size_t>& group_indexes, bool resend) {
        const auto batches = group_by_next_owner(group_indexes);
        for (const auto index : group_indexes) {
            groups_[index].sent = true;
            ++groups_[index].next_owner;
        }
        for (const auto& [owner, indexes] : batches) {
            send_batch(owner, indexes, resend);
        }
    }

    /// The groups that have a next owner, keyed by that owner.
    [[nodiscard]] std::map<model::instance_id, std::vector<std::size_t>> group_by_next_owner(
        const std::vector<std::size_t>& group_indexes) const {
        std::map<model::instance_id, std::vector<std::size_t>> by_owner;
        for (const auto index : group_indexes) {
            const auto& state = groups_[index];
            if (state.next_owner < state.group.owners.size()) {
                by_owner[state.group.owners[state.next_owner]].push_back(index);
            }
        }
        return by_owner;
    }

    void send_batch(const model::instance_id& owner, const std::vector<std::size_t>& group_indexes,
                    bool resend) {
        const auto now = clock_.now();
        sub_query_batch batch{
            request_.request, next_batch_, request_.searcher, snapshot_, request_.query,
            owner_deadline(), {}};
        ++next_batch_;
        for (const auto index : group_indexes) {
            for (const auto& shard : groups_[index].group.shards) {
                if (!is_covered(shard)) {
                    batch.shards.push_back(shard);
                }
            }
        }
        std::sort(batch.shards.begin(), batch.shards.end());
        if (!resend) {
            context_.batch_budget.on_primary(now);
            ++context_.counters.batches;
        }
        const auto resend_at = now + context_.batch_hedge.delay(model::service_id{});
        open_batches_.push_back({owner, batch, group_indexes, now, resend_at});
        context_.owners.on_sent(owner);
        transport_.send(owner, batch);
    }

    [[nodiscard]] kernel::time_point owner_deadline() const {
        constexpr int margin_divisor = 10;
        const auto remaining = request_.deadline - clock_.now();
        return request_.deadline -
               std::min(context_.policy.owner_deadline_margin, remaining / margin_divisor);
    }

    /// Sends the unfinished groups of overdue batches to their next owners, within the budget, and
    /// removes the batches of lost owners, except those whose resend waits for the budget.
    void resend_overdue() {
        const auto now = clock_.now();
        std::vector<std::size_t> to_resend;
        for (auto& it : open_batches_) {
            if (!it.resend_at || now < *it.resend_at) {
                continue;
            }
            context_.owners.on_overdue(it.owner, now);
            it.resend_at.reset();
            for (const auto& [owner, groups] : group_by_next_owner(resendable(it))) {
                if (take_token(it, now)) {
                    ++context_.counters.batch_resends;
                    to_resend.insert(to_resend.end(), groups.begin(), groups.end());
                } else {
                    ++context_.counters.budget_denials;
                    it.resend_at = now + context_.policy.retry_backoff.delay(budget_denials_++,
                                                                             context_.random);
                }
            }
        }
        std::sort(to_resend.begin(), to_resend.end());
        to_resend.erase(std::unique(to_resend.begin(), to_resend.end()), to_resend.end());
        send_groups(to_resend, true);
        std::erase_if(open_batches_, [&](const auto& it) {
            const bool removable = it.lost && !it.resend_at;
            if (removable) {
                context_.owners.on_ended(it.owner);
            }
            return removable;
        });
    }

    bool take_token(const open_batch& batch, kernel::time_point now) {
        return is_owner_lost(batch, now) ? context_.batch_budget.try_take_reserved(now)
                                         : context_.batch_budget.try_take(now);
    }

    [[nodiscard]] bool is_owner_lost(const open_batch& batch, kernel::time_point now) const {
        return batch.lost || (now - batch.sent_at >= context_.policy.failover_after &&
                              context_.owners.unresponsive_since(batch.owner, batch.sent_at));
    }

    /// The groups of a batch that are unfinished and have a next owner.
    [[nodiscard]] std::vector<std::size_t> resendable(const open_batch& batch) const {
        std::vector<std::size_t> found;
        for (const auto index : batch.groups) {
            const auto& state = groups_[index];
            const bool unfinished = !are_covered(state.group.shards);
            if (unfinished && state.next_owner < state.group.owners.size()) {
                found.push_back(index);
            }
        }
        return found;
    }

    /// Records the result of one shard, unless the shard is already covered.
    void add_result(const open_batch& batch, const shard_result& result) {
        const auto& requested = batch.batch.shards;
        if (!std::binary_search(requested.begin(), requested.end(), result.shard)) {
            return;
        }
        const auto now = clock_.now();
        if (result.versions) {
            context_.versions.observe(result.shard, *result.versions);
        }
        for (const auto& server : result.crashed) {
            context_.quarantine.on_crash_symptom(fingerprint_, server, now);
        }
        if (result.reason == model::missing_reason::quarantined) {
            context_.quarantine.merge({fingerprint_, {}, true}, now);
        }
        if (result.reason == model::missing_reason::none) {
            context_.quarantine.on_successful_reply(fingerprint_);
        }
        if (!is_covered(result.shard)) {
            results_.insert_or_assign(result.shard, with_version_check(result));
        }
    }

    /// The result, or a missing shard if its version is not the pinned one.
    [[nodiscard]] shard_result with_version_check(const shard_result& result) const {
        const bool other_version =
            result.reason == model::missing_reason::none && result.version != snapshot_.version;
        if (other_version && context_.policy.match_version) {
            return {result.shard, model::missing_reason::version_unavailable, {}, {}, {}};
        }
        return result;
    }

    /// Records each shard of the batch that has no result as missing.
    void mark_unreported(const open_batch& batch) {
        for (const auto& shard : batch.batch.shards) {
            if (!results_.contains(shard)) {
                results_.emplace(shard, shard_result{shard, model::missing_reason::owner_lost});
            }
        }
    }

    [[nodiscard]] bool are_covered(const std::vector<model::shard_ref>& shards) const {
        return std::all_of(shards.begin(), shards.end(),
                           [&](const auto& it) { return is_covered(it); });
    }

    [[nodiscard]] bool is_covered(const model::shard_ref& shard) const {
        const auto it = results_.find(shard);
        return it != results_.end() && it->second.reason == model::missing_reason::none;
    }

    /// Returns whether the query is quarantined, and ends it if so.
    bool check_quarantine() {
        const bool quarantined = context_.policy.use_quarantine &&
                                 context_.quarantine.quarantined(fingerprint_, clock_.now());
        if (!quarantined) {
            return false;
        }
        for (const auto& shard : shards_) {
            if (!is_covered(shard)) {
                results_.insert_or_assign(shard,
                                          shard_result{shard, model::missing_reason::quarantined});
            }
        }
        finish();
        return true;
    }

    [[nodiscard]] bool snapshot_unavailable() const {
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

    /// Restarts the whole query if its snapshot is unavailable and the planner offers one that was
    /// not tried yet. A shard without replicas also causes a restart if the planner has a newer
    /// shard map than the query: an owner with a newer map reports a removed shard as one without
    /// replicas.
    bool try_restart() {
        const auto now = clock_.now();
        const bool unavailable = snapshot_unavailable();
        next_restart_poll_ = now + context_.policy.restart_poll_interval;
        if ((!unavailable && !lacks_replica()) || restarts_ >= context_.policy.max_restarts) {
            return false;
        }
        auto plan = planner_.plan(request_);
        const bool older_map = plan.snapshot.map_revision < snapshot_.map_revision;
        const bool same_map = plan.snapshot.map_revision == snapshot_.map_revision;
        if (older_map || (same_map && !unavailable) || tried_snapshots_.contains(plan.snapshot) ||
            now >= owner_deadline()) {
            return false;
        }
        ++restarts_;
        ++context_.counters.restarts;
        cancel_open_batches();
        execute(std::move(plan));
        return true;
    }

    /// Ends the query if no open batch can add a result and no restart is possible.
    void finish_if_done() {
        if (answer_ || canary_deadline_) {
            return;
        }
        const bool waiting =
            std::any_of(open_batches_.begin(), open_batches_.end(),
                        [&](const auto& it) { return !are_covered(it.batch.shards); });
        if (waiting) {
            return;
        }
        const auto now = clock_.now();
        if (snapshot_unavailable() && restarts_ < context_.policy.max_restarts) {
            if (!restart_deadline_) {
                restart_deadline_ = now + context_.policy.restart_timeout;
                next_restart_poll_ = now + context_.policy.restart_poll_interval;
            }
            if (now < *restart_deadline_) {
                return;
            }
        }
        finish();
    }

    [[nodiscard]] bool is_finished(const model::shard_ref& shard) const {
        return is_covered(shard) ||
               std::none_of(open_batches_.begin(), open_batches_.end(), [&](const auto& it) {
                   const auto& requested = it.batch.shards;
                   return std::binary_search(requested.begin(), requested.end(), shard);
               });
    }

    void cancel_open_batches() {
        for (const auto& it : std::exchange(open_batches_, {})) {
            context_.owners.on_ended(it.owner);
            transport_.cancel(it.owner, it.batch);
        }
    }

    void finish() {
        model::search_answer answer{request_.request, request_.searcher, snapshot_, {}, {}};
        for (const auto& shard : shards_) {
            const auto it = results_.find(shard);
            if (it != results_.end()) {
                merge(it->second, answer);
            } else if (context_.policy.report_missing) {
                answer.shards.push_back({shard, reason_without_result(shard)});
            }
        }
        std::sort(answer.records.begin(), answer.records.end());
        answer_ = std::move(answer);
        canary_deadline_.reset();
        cancel_open_batches();
    }

    [[nodiscard]] model::missing_reason reason_without_result(const model::shard_ref& shard) const {
        const bool timed_out = !is_finished(shard) || clock_.now() >= request_.deadline;
        return timed_out ? model::missing_reason::timed_out : model::missing_reason::owner_lost;
    }

    void merge(const shard_result& result, model::search_answer& answer) const {
        if (result.reason == model::missing_reason::none) {
            answer.records.insert(answer.records.end(), result.records.begin(),
                                  result.records.end());
        }
        if (result.reason == model::missing_reason::none || context_.policy.report_missing) {
            answer.shards.push_back({result.shard, result.reason});
        }
    }

    const Clock& clock_;
    Transport& transport_;
    routing_context context_;
    Planner& planner_;
    model::search_request request_;
    query_fingerprint fingerprint_;

    model::pinned_snapshot snapshot_;
    std::set<model::pinned_snapshot> tried_snapshots_;
    std::uint32_t restarts_ = 0;
    std::vector<group_state> groups_;
    std::vector<model::shard_ref> shards_;
    std::map<model::shard_ref, shard_result> results_;
    std::vector<open_batch> open_batches_;
    std::uint32_t next_batch_ = 1;
    std::uint32_t budget_denials_ = 0;
    /// Set while the other shards wait for the canary.
    std::optional<kernel::time_point> canary_deadline_;
    std::size_t canary_group_ = 0;
    /// Set while the query waits for another snapshot.
    std::optional<kernel::time_point> restart_deadline_;
    kernel::time_point next_restart_poll_;
    std::optional<model::search_answer> answer_;
};

}  // namespace poplarfront::routing
