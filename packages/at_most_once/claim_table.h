#pragma once

#include <algorithm>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "at_most_once/claim.h"
#include "at_most_once/internal/bucket_change.h"
#include "kernel/concepts.h"
#include "store/store_client.h"

namespace poplarfront::at_most_once {

/// Makes, ends and looks up claims in the store's buckets, with one store call per bucket at a time
/// and one write for all changes that wait.
///
/// A claim is `held` only once a write of its nonce was confirmed, by its reply or by reading back.
/// Calls return tickets; take_events() gives how they ended. Nothing is called back, so events may
/// be passed on to callers that call again.
///
/// Thread safety: used on one thread. The clock, random source and store must outlive the table.
/// The store must not complete a call before the call has returned.
template <kernel::clock_source Clock, kernel::random_source Random, store::async_store Store,
          bucket_codec Codec>
class claim_table {
public:
    claim_table(const Clock& clock, Random& random, Store& store, claim_policy policy)
        : clock_(clock), random_(random), store_(store), policy_(policy) {}

    /// Claims an action; ends in held, already_completed, in_progress or refused. `now` is the wall
    /// clock, by which old records are purged.
    claim_ticket claim(const claim_request& request, wall_time now) {
        ++counts_.claims;
        wall_time_ = now;
        const auto ticket = ++last_ticket_;
        if (waiting_ >= policy_.max_pending_changes) {
            settle({ticket, claim_status::refused, {}, "", "too_many_claims"});
            return ticket;
        }
        internal::bucket_change change{internal::change_kind::claim, ticket, request.key,
                                       new_nonce(), request.issued};
        change.deadline = request.deadline;
        claims_.emplace(ticket, bucket_of(request.key, policy_.buckets));
        enqueue(std::move(change));
        return ticket;
    }

    /// The caller no longer waits for a claim. If it is or becomes held, it is released.
    void abandon(claim_ticket ticket) {
        const auto settled = std::ranges::find(events_, ticket, &claim_event::ticket);
        if (settled != events_.end()) {
            const auto event = *settled;
            events_.erase(settled);
            if (event.status == claim_status::held) {
                release(event.claim);
            }
            return;
        }
        const auto claimed = claims_.find(ticket);
        if (claimed == claims_.end()) {
            return;
        }
        auto& changes = buckets_.at(claimed->second).changes;
        const auto change = std::ranges::find(changes, ticket, &bucket_change::ticket);
        change->abandoned = true;
        change->silent = true;
    }

    /// Records that the claimed action was executed.
    claim_ticket complete(const held_claim& claim, std::string reply) {
        return end(internal::change_kind::complete, claim, std::move(reply));
    }

    /// Records that the claimed action did not run and never will under this claim.
    claim_ticket release(const held_claim& claim) {
        return end(internal::change_kind::release, claim, "");
    }

    /// Takes the completion of a read; one of another call is ignored.
    void on_read(store::call_id call, const store::read_outcome& outcome) {
        auto* bucket = take_call(call);
        if (bucket == nullptr) {
            return;
        }
        if (outcome.status != store::store_status::ok) {
            on_store_failure(*bucket, outcome.status == store::store_status::unknown);
            enqueue_releases();
            return;
        }
        auto decoded = Codec::decode(outcome.value.bytes);
        if (!decoded) {
            give_up(*bucket);
            enqueue_releases();
            return;
        }
        keep(*bucket, std::move(decoded.value()), outcome.value.version);
        bucket->fresh = true;
        bucket->retry_delay = policy_.initial_retry_delay;
        apply(*bucket);
        enqueue_releases();
    }

    /// Takes the completion of a write; one of another call is ignored.
    void on_write(store::call_id call, const store::write_outcome& outcome) {
        auto* bucket = take_call(call);
        if (bucket == nullptr) {
            return;
        }
        switch (outcome.status) {
            case store::store_status::ok:
                on_written(*bucket, outcome.version);
                break;
            case store::store_status::conflict:
                ++counts_.conflicts;
                reread(*bucket);
                break;
            case store::store_status::unknown:
                on_lost_reply(*bucket);
                break;
            case store::store_status::unavailable:
                on_store_failure(*bucket, false);
                break;
        }
        enqueue_releases();
    }

    /// Must be called when the time of next_timer() has come.
    void on_timer() {
        const auto now = clock_.now();
        while (!due_.empty() && due_.begin()->first <= now) {
            auto& bucket = buckets_.at(due_.begin()->second);
            due_.erase(due_.begin());
            bucket.due.reset();
            start(bucket);
        }
        enqueue_releases();
        evict();
    }

    [[nodiscard]] std::optional<kernel::time_point> next_timer() const {
        return due_.empty() ? std::nullopt : std::optional{due_.begin()->first};
    }

    /// How calls ended since the last take, in that order.
    std::vector<claim_event> take_events() { return std::exchange(events_, {}); }

    [[nodiscard]] const claim_counts& count() const { return counts_; }
    /// Claims and ends of claims that wait for the store.
    [[nodiscard]] std::size_t pending_changes() const { return waiting_; }
    /// Memory used by values of buckets, as an upper bound of their encoded size.
    [[nodiscard]] std::size_t cached_bytes() const { return cached_bytes_; }

private:
    using bucket_change = internal::bucket_change;

    struct cached_value {
        claim_bucket bucket;
        std::uint64_t version = 0;
        std::size_t bytes = 0;
    };

    struct bucket_state {
        std::uint32_t number = 0;
        std::deque<bucket_change> changes;
        /// The number of changes, from the front, that the write under way includes.
        std::size_t in_write = 0;
        std::optional<cached_value> cached;
        /// The cached value was read since the last write.
        bool fresh = false;
        /// The value that the write under way makes.
        claim_bucket written;
        std::optional<store::call_id> open_call;
        /// Its time in due_.
        std::optional<kernel::time_point> due;
        kernel::duration retry_delay{};
        kernel::time_point last_used;
    };

    std::uint64_t new_nonce() {
        std::uint64_t nonce = 0;
        while (nonce == 0) {
            nonce = random_.next();
        }
        return nonce;
    }

    claim_ticket end(internal::change_kind kind, const held_claim& claim, std::string reply) {
        const auto ticket = ++last_ticket_;
        bucket_change change{kind, ticket, claim.key, claim.nonce, claim.issued};
        change.reply_dropped = reply.size() > policy_.max_reply_bytes;
        change.reply = change.reply_dropped ? "" : std::move(reply);
        change.deadline = clock_.now() + policy_.retry_timeout;
        enqueue(std::move(change));
        return ticket;
    }

    void enqueue(bucket_change change) {
        const auto number = bucket_of(change.key, policy_.buckets);
        auto& bucket = buckets_[number];
        bucket.number = number;
        bucket.last_used = clock_.now();
        change.arrived = clock_.now();
        if (bucket.changes.empty()) {
            bucket.retry_delay = policy_.initial_retry_delay;
        }
        // A claim does not wait for the next attempt at the ends of claims that the store refused.
        const bool is_claim = change.kind == internal::change_kind::claim;
        if (!bucket.open_call && (is_claim || !bucket.due)) {
            start_at(bucket, clock_.now() + policy_.batch_window);
        }
        bucket.changes.push_back(std::move(change));
        ++waiting_;
    }

    /// Starts at `time` or, if that is earlier, when it was due before.
    void start_at(bucket_state& bucket, kernel::time_point time) {
        if (bucket.due) {
            due_.erase({*bucket.due, bucket.number});
            time = std::min(time, *bucket.due);
        }
        bucket.due = time;
        due_.emplace(time, bucket.number);
    }

    /// Begins to work on the changes that wait.
    void start(bucket_state& bucket) {
        if (bucket.changes.empty()) {
            return;
        }
        if (bucket.cached) {
            apply(bucket);
        } else {
            read(bucket);
        }
    }

    void read(bucket_state& bucket) {
        ++counts_.reads;
        open_call(bucket);
        store_.read(*bucket.open_call, store_key_of(bucket.number));
    }

    void reread(bucket_state& bucket) {
        forget(bucket);
        bucket.fresh = false;
        bucket.in_write = 0;
        read(bucket);
    }

    void open_call(bucket_state& bucket) {
        bucket.open_call = ++last_call_;
        calls_.emplace(last_call_, bucket.number);
    }

    /// The bucket whose call has ended; null if the call is not open.
    bucket_state* take_call(store::call_id call) {
        const auto found = calls_.find(call);
        if (found == calls_.end()) {
            return nullptr;
        }
        auto& bucket = buckets_.at(found->second);
        calls_.erase(found);
        bucket.open_call.reset();
        return &bucket;
    }

    /// Evaluates the changes on the cached value, settles those that change nothing, and writes.
    void apply(bucket_state& bucket) {
        const internal::change_evaluator_options limits{
            clock_.now(), policy_.max_bucket_bytes, store::max_value_bytes - record_overhead_bytes,
            policy_.prevent_claim_takeover, policy_.check_deadline};
        purge(*bucket.cached);
        internal::change_evaluator set{bucket.cached->bucket, limits};
        std::deque<bucket_change> written;
        std::vector<bucket_change> rest;
        for (auto& change : bucket.changes) {
            if (written.size() == policy_.max_batch) {
                rest.push_back(std::move(change));
                continue;
            }
            const auto decision = set.decide(change);
            if (decision.write) {
                change.result = decision.result;
                written.push_back(std::move(change));
            } else if (decision.needs_fresh_value && !bucket.fresh) {
                rest.push_back(std::move(change));
            } else {
                settle(change, decision.result);
            }
        }
        bucket.fresh = false;
        bucket.in_write = written.size();
        bucket.changes = std::move(written);
        std::ranges::move(rest, std::back_inserter(bucket.changes));
        if (bucket.in_write > 0) {
            write(bucket, set.changes());
        } else if (!bucket.changes.empty()) {
            reread(bucket);
        }
    }

    [[nodiscard]] wall_time purge_before() const { return wall_time_ - policy_.retention; }

    void purge(cached_value& cached) const {
        const auto& records = cached.bucket.records;
        const bool any = std::ranges::any_of(records, [limit = purge_before()](const auto& entry) {
            return entry.second.issued < limit;
        });
        if (any) {
            cached.bucket = std::move(cached.bucket).with({}, purge_before());
        }
    }

    void write(bucket_state& bucket, const std::map<claim_key, claim_record>& changes) {
        ++counts_.writes;
        // The cached value is not used again: it is replaced if the write succeeds, else forgotten.
        bucket.written = std::move(bucket.cached->bucket).with(changes, purge_before());
        open_call(bucket);
        store_.compare_and_swap(*bucket.open_call, store_key_of(bucket.number),
                                bucket.cached->version, Codec::encode(bucket.written));
    }

    void on_written(bucket_state& bucket, std::uint64_t version) {
        keep(bucket, std::exchange(bucket.written, {}), version);
        bucket.retry_delay = policy_.initial_retry_delay;
        settle_written(bucket);
        // The store had exactly this value a moment ago.
        bucket.fresh = !bucket.changes.empty();
        schedule_rest(bucket);
    }

    void settle_written(bucket_state& bucket) {
        for (; bucket.in_write > 0; --bucket.in_write) {
            auto change = std::move(bucket.changes.front());
            bucket.changes.pop_front();
            settle(change, change.result);
        }
    }

    void on_lost_reply(bucket_state& bucket) {
        if (!policy_.read_back_unconfirmed_writes) {
            settle_written(bucket);
            forget(bucket);
            schedule_rest(bucket);
            return;
        }
        for (std::size_t i = 0; i < bucket.in_write; ++i) {
            bucket.changes[i].in_doubt = true;
        }
        ++counts_.read_backs;
        reread(bucket);
    }

    /// The store refused, or a read got no reply. Claims are refused, unless the read may succeed
    /// before their deadline; ends of claims are kept.
    void on_store_failure(bucket_state& bucket, bool may_succeed_soon) {
        bucket.in_write = 0;
        forget(bucket);
        std::deque<bucket_change> kept;
        const auto now = clock_.now();
        for (auto& change : bucket.changes) {
            const bool is_claim = change.kind == internal::change_kind::claim;
            const bool expired = change.deadline <= now || change.abandoned;
            if (!expired && (!is_claim || may_succeed_soon)) {
                kept.push_back(std::move(change));
            } else {
                fail(change, "store_unavailable");
            }
        }
        bucket.changes = std::move(kept);
        retry_later(bucket);
    }

    /// Refuses all that waits on a bucket whose value cannot be read.
    void give_up(bucket_state& bucket) {
        for (const auto& change : std::exchange(bucket.changes, {})) {
            fail(change, "claims_unreadable");
        }
    }

    void fail(const bucket_change& change, const std::string& reason) {
        const bool is_claim = change.kind == internal::change_kind::claim;
        const auto status = is_claim ? claim_status::refused : claim_status::not_recorded;
        settle(change, claim_event{change.ticket, status, {}, "", reason});
    }

    void retry_later(bucket_state& bucket) {
        if (!bucket.changes.empty()) {
            start_at(bucket, clock_.now() + bucket.retry_delay);
            bucket.retry_delay = std::min(bucket.retry_delay * 2, policy_.max_retry_delay);
        }
    }

    void schedule_rest(bucket_state& bucket) {
        if (!bucket.changes.empty() && !bucket.due) {
            start_at(bucket,
                     std::max(clock_.now(), bucket.changes.front().arrived + policy_.batch_window));
        }
    }

    /// Ends a change. A claim is not held if nobody waits for it or its deadline has passed. It is
    /// then released, as is a refused one of which a write may still take effect.
    void settle(const bucket_change& change, claim_event event) {
        --waiting_;
        claims_.erase(change.ticket);
        const bool expired =
            change.abandoned || (policy_.check_deadline && change.deadline <= clock_.now());
        if (event.status == claim_status::held && expired) {
            released_.push_back(release_of(change));
            event = {change.ticket,
                     claim_status::refused,
                     {},
                     "",
                     std::string{internal::reason_deadline}};
        } else if (event.status == claim_status::held) {
            event.claim = {change.key, change.nonce, change.issued};
        } else if (event.status == claim_status::refused && change.in_doubt) {
            released_.push_back(release_of(change));
        }
        if (!change.silent) {
            settle(std::move(event));
        }
    }

    [[nodiscard]] bucket_change release_of(const bucket_change& claim) {
        bucket_change release{internal::change_kind::release, ++last_ticket_, claim.key,
                              claim.nonce, claim.issued};
        release.deadline = clock_.now() + policy_.retry_timeout;
        release.in_doubt = claim.in_doubt;
        release.silent = true;
        return release;
    }

    /// Changes of a bucket are settled while its queue is walked, so the releases that follow from
    /// it are added afterwards.
    void enqueue_releases() {
        for (auto& release : std::exchange(released_, {})) {
            enqueue(std::move(release));
        }
    }

    void settle(claim_event event) {
        counts_.refused += event.status == claim_status::refused ? 1 : 0;
        events_.push_back(std::move(event));
    }

    void keep(bucket_state& bucket, claim_bucket value, std::uint64_t version) {
        forget(bucket);
        const auto bytes = value.max_encoded_size();
        bucket.cached = cached_value{std::move(value), version, bytes};
        cached_bytes_ += bytes;
    }

    void forget(bucket_state& bucket) {
        cached_bytes_ -= bucket.cached ? bucket.cached->bytes : 0;
        bucket.cached.reset();
    }

    /// Forgets the values of the buckets that were used least recently, down to the cache limit.
    void evict() {
        if (cached_bytes_ <= policy_.max_cached_bytes) {
            return;
        }
        std::vector<bucket_state*> idle;
        for (auto& [number, bucket] : buckets_) {
            if (bucket.cached && bucket.changes.empty()) {
                idle.push_back(&bucket);
            }
        }
        std::ranges::sort(idle, {}, &bucket_state::last_used);
        for (auto it = idle.begin(); it != idle.end() && cached_bytes_ > policy_.max_cached_bytes;
             ++it) {
            forget(**it);
        }
    }

    const Clock& clock_;
    Random& random_;
    Store& store_;
    claim_policy policy_;
    std::unordered_map<std::uint32_t, bucket_state> buckets_;
    std::unordered_map<store::call_id, std::uint32_t> calls_;
    std::set<std::pair<kernel::time_point, std::uint32_t>> due_;
    /// The buckets of claims that have not ended.
    std::unordered_map<claim_ticket, std::uint32_t> claims_;
    std::vector<claim_event> events_;
    std::vector<bucket_change> released_;
    claim_counts counts_;
    /// The wall clock at the latest claim.
    wall_time wall_time_{0};
    std::size_t waiting_ = 0;
    std::size_t cached_bytes_ = 0;
    claim_ticket last_ticket_ = 0;
    store::call_id last_call_ = 0;
};

}  // namespace poplarfront::at_most_once
