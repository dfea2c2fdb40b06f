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

/// Makes, completes and releases claims in the buckets of the store. Each bucket has at most one
/// store call in progress; up to claim_policy::max_batch queued changes share one write.
///
/// A claim is `held` only after the write of its nonce was confirmed, either by the store's reply
/// or by reading the bucket back. Calls return tickets, and take_events() returns their results.
/// The table makes no callbacks, so code that handles an event may call the table again.
///
/// Thread safety: used on one thread. `clock`, `random` and `store` must outlive the table. The
/// store must not complete a call before the call has returned.
template <kernel::clock_source Clock, kernel::random_source Random, store::async_store Store,
          bucket_codec Codec>
class claim_table {
public:
    claim_table(const Clock& clock, Random& random, Store& store, claim_policy policy)
        : clock_(clock), random_(random), store_(store), policy_(policy) {}

    /// Claims an action. The result is held, already_completed, in_progress or refused. `now` is
    /// the wall-clock time, which determines which old records are purged.
    claim_ticket claim(const claim_request& request, wall_time now) {
        ++counts_.claims;
        wall_time_ = now;
        const auto ticket = ++last_ticket_;
        if (pending_changes_ >= policy_.max_pending_changes) {
            emit({ticket, claim_status::refused, {}, "", "too_many_claims"});
            return ticket;
        }
        internal::bucket_change change{internal::change_kind::claim, ticket, request.key,
                                       new_nonce(), request.issued};
        change.deadline = request.deadline;
        pending_claims_.emplace(ticket, bucket_of(request.key, policy_.buckets));
        enqueue(std::move(change));
        return ticket;
    }

    /// Abandons a claim that the caller no longer waits for. If it is or becomes held, it is
    /// released. Has no effect once the event of the claim was taken; such a claim must be ended by
    /// release().
    void abandon(claim_ticket ticket) {
        const auto finished = std::ranges::find(events_, ticket, &claim_event::ticket);
        if (finished != events_.end()) {
            const auto event = *finished;
            events_.erase(finished);
            if (event.status == claim_status::held) {
                release(event.claim);
            }
            return;
        }
        const auto pending = pending_claims_.find(ticket);
        if (pending == pending_claims_.end()) {
            return;
        }
        auto& changes = buckets_.at(pending->second).changes;
        const auto change = std::ranges::find(changes, ticket, &bucket_change::ticket);
        change->abandoned = true;
        change->suppress_event = true;
    }

    /// Records that the claimed action was executed.
    claim_ticket complete(const held_claim& claim, std::string reply) {
        return end_claim(internal::change_kind::complete, claim, std::move(reply));
    }

    /// Records that the claimed action did not run and never will under this claim.
    claim_ticket release(const held_claim& claim) {
        return end_claim(internal::change_kind::release, claim, "");
    }

    /// Handles the result of a store read. Results of unknown calls are ignored.
    void on_read(store::call_id call, const store::read_outcome& outcome) {
        auto* bucket = end_call(call);
        if (bucket == nullptr) {
            return;
        }
        if (outcome.status != store::store_status::ok) {
            on_store_failure(*bucket, outcome.status == store::store_status::unknown);
            enqueue_collected_releases();
            return;
        }
        auto decoded = Codec::decode(outcome.value.bytes);
        if (!decoded) {
            fail_all(*bucket);
            enqueue_collected_releases();
            return;
        }
        cache(*bucket, std::move(decoded.value()), outcome.value.version);
        bucket->fresh = true;
        bucket->retry_delay = policy_.initial_retry_delay;
        apply(*bucket);
        enqueue_collected_releases();
    }

    /// Handles the result of a store write. Results of unknown calls are ignored.
    void on_write(store::call_id call, const store::write_outcome& outcome) {
        auto* bucket = end_call(call);
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
                on_unconfirmed_write(*bucket);
                break;
            case store::store_status::unavailable:
                on_store_failure(*bucket, false);
                break;
        }
        enqueue_collected_releases();
    }

    /// Must be called when the time next_timer() is reached.
    void on_timer() {
        const auto now = clock_.now();
        while (!timers_.empty() && timers_.begin()->first <= now) {
            auto& bucket = buckets_.at(timers_.begin()->second);
            timers_.erase(timers_.begin());
            bucket.timer.reset();
            process(bucket);
        }
        enqueue_collected_releases();
        evict();
    }

    [[nodiscard]] std::optional<kernel::time_point> next_timer() const {
        return timers_.empty() ? std::nullopt : std::optional{timers_.begin()->first};
    }

    /// The results of the calls that finished since the previous take_events(), in order.
    std::vector<claim_event> take_events() { return std::exchange(events_, {}); }

    [[nodiscard]] const claim_counts& count() const { return counts_; }
    /// Number of claims, completions and releases that wait for the store.
    [[nodiscard]] std::size_t pending_changes() const { return pending_changes_; }
    /// Upper bound of the encoded size of all cached bucket values.
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
        /// Number of changes, from the front, that the write in progress includes.
        std::size_t in_write = 0;
        std::optional<cached_value> cached;
        /// The store has returned or confirmed the cached value since the last evaluation.
        bool fresh = false;
        /// The value that the write in progress stores.
        claim_bucket value_in_write;
        std::optional<store::call_id> open_call;
        /// When the queued changes are processed next; timers_ holds the same time.
        std::optional<kernel::time_point> timer;
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

    claim_ticket end_claim(internal::change_kind kind, const held_claim& claim, std::string reply) {
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
        // A claim does not wait for the retry of completions and releases that the store refused.
        const bool is_claim = change.kind == internal::change_kind::claim;
        if (!bucket.open_call && (is_claim || !bucket.timer)) {
            schedule(bucket, clock_.now() + policy_.batch_window);
        }
        bucket.changes.push_back(std::move(change));
        ++pending_changes_;
    }

    /// Sets the bucket's timer to `time` unless it is set to an earlier time already.
    void schedule(bucket_state& bucket, kernel::time_point time) {
        if (bucket.timer) {
            timers_.erase({*bucket.timer, bucket.number});
            time = std::min(time, *bucket.timer);
        }
        bucket.timer = time;
        timers_.emplace(time, bucket.number);
    }

    /// Evaluates the queued changes, after reading the bucket if its value is not cached.
    void process(bucket_state& bucket) {
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
        begin_call(bucket);
        store_.read(*bucket.open_call, store_key_of(bucket.number));
    }

    void reread(bucket_state& bucket) {
        drop_cached(bucket);
        bucket.fresh = false;
        bucket.in_write = 0;
        read(bucket);
    }

    void begin_call(bucket_state& bucket) {
        bucket.open_call = ++last_call_;
        calls_.emplace(last_call_, bucket.number);
    }

    /// Removes a completed call and returns its bucket; null if the call is unknown.
    bucket_state* end_call(store::call_id call) {
        const auto found = calls_.find(call);
        if (found == calls_.end()) {
            return nullptr;
        }
        auto& bucket = buckets_.at(found->second);
        calls_.erase(found);
        bucket.open_call.reset();
        return &bucket;
    }

    /// Evaluates the queued changes on the cached value. Finishes those that need no write, writes
    /// up to max_batch of the others and keeps the rest. Reads the bucket again if only changes
    /// that need a fresh value remain.
    void apply(bucket_state& bucket) {
        const internal::change_evaluator_options options{
            clock_.now(), policy_.max_bucket_bytes, store::max_value_bytes - record_overhead_bytes,
            policy_.prevent_claim_takeover, policy_.check_deadline};
        purge(*bucket.cached);
        internal::change_evaluator evaluator{bucket.cached->bucket, options};
        std::deque<bucket_change> to_write;
        std::vector<bucket_change> remaining;
        for (auto& change : bucket.changes) {
            if (to_write.size() == policy_.max_batch) {
                remaining.push_back(std::move(change));
                continue;
            }
            const auto decision = evaluator.decide(change);
            if (decision.write) {
                change.result = decision.result;
                to_write.push_back(std::move(change));
            } else if (decision.needs_fresh_value && !bucket.fresh) {
                remaining.push_back(std::move(change));
            } else {
                finish(change, decision.result);
            }
        }
        bucket.fresh = false;
        bucket.in_write = to_write.size();
        bucket.changes = std::move(to_write);
        std::ranges::move(remaining, std::back_inserter(bucket.changes));
        if (bucket.in_write > 0) {
            write(bucket, evaluator.changes());
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
        // The cached bucket is moved from; it is replaced if the write succeeds and dropped
        // otherwise.
        bucket.value_in_write = std::move(bucket.cached->bucket).with(changes, purge_before());
        begin_call(bucket);
        store_.compare_and_swap(*bucket.open_call, store_key_of(bucket.number),
                                bucket.cached->version, Codec::encode(bucket.value_in_write));
    }

    void on_written(bucket_state& bucket, std::uint64_t version) {
        cache(bucket, std::exchange(bucket.value_in_write, {}), version);
        bucket.retry_delay = policy_.initial_retry_delay;
        finish_written(bucket);
        // The value is fresh for changes that were queued during the write. Without any, the flag
        // is cleared so that it does not apply to changes that arrive much later.
        bucket.fresh = !bucket.changes.empty();
        schedule_remaining(bucket);
    }

    void finish_written(bucket_state& bucket) {
        for (; bucket.in_write > 0; --bucket.in_write) {
            auto change = std::move(bucket.changes.front());
            bucket.changes.pop_front();
            finish(change, change.result);
        }
    }

    void on_unconfirmed_write(bucket_state& bucket) {
        if (!policy_.read_back_unconfirmed_writes) {
            finish_written(bucket);
            drop_cached(bucket);
            schedule_remaining(bucket);
            return;
        }
        for (std::size_t i = 0; i < bucket.in_write; ++i) {
            bucket.changes[i].in_doubt = true;
        }
        ++counts_.read_backs;
        reread(bucket);
    }

    /// Handles a call that the store refused or a read without a reply. Claims fail at once unless
    /// `retry_claims` is set, which means that a retry may succeed before their deadline. Abandoned
    /// claims and changes past their deadline fail too. All others are kept for a retry.
    void on_store_failure(bucket_state& bucket, bool retry_claims) {
        bucket.in_write = 0;
        drop_cached(bucket);
        std::deque<bucket_change> retried;
        const auto now = clock_.now();
        for (auto& change : bucket.changes) {
            const bool is_claim = change.kind == internal::change_kind::claim;
            const bool expired_or_abandoned = change.deadline <= now || change.abandoned;
            if (!expired_or_abandoned && (!is_claim || retry_claims)) {
                retried.push_back(std::move(change));
            } else {
                fail(change, "store_unavailable");
            }
        }
        bucket.changes = std::move(retried);
        schedule_retry(bucket);
    }

    /// Fails all changes of a bucket whose value cannot be decoded.
    void fail_all(bucket_state& bucket) {
        for (const auto& change : std::exchange(bucket.changes, {})) {
            fail(change, "claims_unreadable");
        }
    }

    void fail(const bucket_change& change, const std::string& reason) {
        const bool is_claim = change.kind == internal::change_kind::claim;
        const auto status = is_claim ? claim_status::refused : claim_status::not_recorded;
        finish(change, claim_event{change.ticket, status, {}, "", reason});
    }

    void schedule_retry(bucket_state& bucket) {
        if (!bucket.changes.empty()) {
            schedule(bucket, clock_.now() + bucket.retry_delay);
            bucket.retry_delay = std::min(bucket.retry_delay * 2, policy_.max_retry_delay);
        }
    }

    void schedule_remaining(bucket_state& bucket) {
        if (!bucket.changes.empty() && !bucket.timer) {
            schedule(bucket,
                     std::max(clock_.now(), bucket.changes.front().arrived + policy_.batch_window));
        }
    }

    /// Finishes a change and emits its event. A claim that was written is not granted if it was
    /// abandoned or its deadline has passed; it is then released. A refused claim is released too
    /// if a write that includes it may still take effect.
    void finish(const bucket_change& change, claim_event event) {
        --pending_changes_;
        pending_claims_.erase(change.ticket);
        const bool expired_or_abandoned =
            change.abandoned || (policy_.check_deadline && change.deadline <= clock_.now());
        if (event.status == claim_status::held && expired_or_abandoned) {
            collected_releases_.push_back(release_of(change));
            event = {change.ticket,
                     claim_status::refused,
                     {},
                     "",
                     std::string{internal::reason_deadline}};
        } else if (event.status == claim_status::held) {
            event.claim = {change.key, change.nonce, change.issued};
        } else if (event.status == claim_status::refused && change.in_doubt) {
            collected_releases_.push_back(release_of(change));
        }
        if (!change.suppress_event) {
            emit(std::move(event));
        }
    }

    [[nodiscard]] bucket_change release_of(const bucket_change& claim) {
        bucket_change release{internal::change_kind::release, ++last_ticket_, claim.key,
                              claim.nonce, claim.issued};
        release.deadline = clock_.now() + policy_.retry_timeout;
        release.in_doubt = claim.in_doubt;
        release.suppress_event = true;
        return release;
    }

    /// Queues the releases that finish() has collected. They are queued afterwards because finish()
    /// is called during iteration over a bucket's changes.
    void enqueue_collected_releases() {
        for (auto& release : std::exchange(collected_releases_, {})) {
            enqueue(std::move(release));
        }
    }

    void emit(claim_event event) {
        counts_.refused += event.status == claim_status::refused ? 1 : 0;
        events_.push_back(std::move(event));
    }

    void cache(bucket_state& bucket, claim_bucket value, std::uint64_t version) {
        drop_cached(bucket);
        const auto bytes = value.max_encoded_size();
        bucket.cached = cached_value{std::move(value), version, bytes};
        cached_bytes_ += bytes;
    }

    void drop_cached(bucket_state& bucket) {
        cached_bytes_ -= bucket.cached ? bucket.cached->bytes : 0;
        bucket.cached.reset();
    }

    /// Drops the least recently used values of idle buckets until the cache is within its limit.
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
            drop_cached(**it);
        }
    }

    const Clock& clock_;
    Random& random_;
    Store& store_;
    claim_policy policy_;
    std::unordered_map<std::uint32_t, bucket_state> buckets_;
    std::unordered_map<store::call_id, std::uint32_t> calls_;
    std::set<std::pair<kernel::time_point, std::uint32_t>> timers_;
    /// The bucket of each pending claim.
    std::unordered_map<claim_ticket, std::uint32_t> pending_claims_;
    std::vector<claim_event> events_;
    std::vector<bucket_change> collected_releases_;
    claim_counts counts_;
    /// The wall-clock time of the latest claim.
    wall_time wall_time_{0};
    std::size_t pending_changes_ = 0;
    std::size_t cached_bytes_ = 0;
    claim_ticket last_ticket_ = 0;
    store::call_id last_call_ = 0;
};

}  // namespace poplarfront::at_most_once
