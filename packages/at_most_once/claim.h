#pragma once

#include <concepts>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "at_most_once/request_key.h"
#include "kernel/concepts.h"
#include "kernel/result.h"

namespace poplarfront::at_most_once {

enum class claim_state {
    /// The claimant may have sent the action or may still send it.
    claimed,
    /// The action was executed.
    completed,
    /// The claimant did not run the action and never will; it may be claimed again.
    released,
};

/// The state of one action in the store.
struct claim_record {
    /// Identifies the claim; never 0.
    std::uint64_t nonce = 0;
    claim_state state = claim_state::claimed;
    /// When the request key was issued.
    wall_time issued{0};
    /// The backend server's reply; only set if the action was executed.
    std::string reply;
    /// The reply was not stored because it exceeds claim_policy::max_reply_bytes or the space left
    /// in the bucket.
    bool reply_dropped = false;
    friend auto operator<=>(const claim_record&, const claim_record&) = default;
};

/// Upper bound of the encoded size of a record without its reply, in bytes.
inline constexpr std::size_t record_overhead_bytes = 64;

/// The claim records of one bucket. Used as an immutable value; with() returns a changed bucket.
struct claim_bucket {
    std::map<claim_key, claim_record> records;

    /// The record of `key`; null if there is none. Valid for the lifetime of this bucket.
    [[nodiscard]] const claim_record* find(const claim_key& key) const;
    /// A copy with `changes` applied and without the records whose request key was issued before
    /// `purge_before`.
    [[nodiscard]] claim_bucket with(const std::map<claim_key, claim_record>& changes,
                                    wall_time purge_before) const&;
    /// As above, but moves the records instead of copying them; a bucket may have thousands.
    [[nodiscard]] claim_bucket with(const std::map<claim_key, claim_record>& changes,
                                    wall_time purge_before) &&;
    /// Upper bound of the encoded size in bytes.
    [[nodiscard]] std::size_t max_encoded_size() const;
    friend bool operator==(const claim_bucket&, const claim_bucket&) = default;
};

/// Encodes buckets as store values and decodes them.
template <class T>
concept bucket_codec = requires(const claim_bucket& bucket, std::string_view bytes) {
    { T::encode(bucket) } -> std::same_as<std::string>;
    { T::decode(bytes) } -> std::same_as<kernel::result<claim_bucket>>;
};

/// Identifies one call of a claim table.
using claim_ticket = std::uint64_t;

struct claim_request {
    claim_key key;
    /// When the request key was issued.
    wall_time issued{0};
    /// The claim is not granted after this time.
    kernel::time_point deadline;
    friend auto operator<=>(const claim_request&, const claim_request&) = default;
};

/// A claim that was granted; its owner may send the action.
struct held_claim {
    claim_key key;
    std::uint64_t nonce = 0;
    /// When the request key was issued.
    wall_time issued{0};
    friend auto operator<=>(const held_claim&, const held_claim&) = default;
};

enum class claim_status {
    /// The record in the store has the caller's nonce, so only the caller may send the action.
    held,
    /// The action was executed before. `reply` is the recorded reply; it is empty, with the reason
    /// `reply_not_kept`, if it was not stored.
    already_completed,
    /// Another claim was neither completed nor released; the action may have run.
    in_progress,
    /// The claim was not granted, and the action must not be sent under this ticket; `reason`
    /// says why.
    refused,
    /// The completion or release of the claim is stored, or a release had nothing to change.
    recorded,
    /// The completion or release of the claim could not be stored.
    not_recorded,
};

/// The result of one call of a claim table.
struct claim_event {
    claim_ticket ticket = 0;
    claim_status status = claim_status::refused;
    /// Only set if held.
    held_claim claim;
    std::string reply;
    std::string reason;
    friend auto operator<=>(const claim_event&, const claim_event&) = default;
};

/// The operations of a claim table that action_session uses.
template <class T>
concept claim_service = requires(T& claims, const claim_request& request, wall_time now,
                                 const held_claim& claim, claim_ticket ticket, std::string reply) {
    // Results: held, already_completed, in_progress or refused.
    { claims.claim(request, now) } -> std::same_as<claim_ticket>;
    // The caller no longer waits for the claim; if it is or becomes held, it is released. Has no
    // effect once the event of the claim was taken; such a claim must be ended by release().
    { claims.abandon(ticket) } -> std::same_as<void>;
    // Results of both: recorded or not_recorded.
    { claims.complete(claim, reply) } -> std::same_as<claim_ticket>;
    { claims.release(claim) } -> std::same_as<claim_ticket>;
};

/// Limits and checks of a claim table.
struct claim_policy {
    /// Changes of one bucket that arrive within this time are written together.
    kernel::duration batch_window = std::chrono::milliseconds{2};
    /// Maximum number of changes per write; 1 disables batching.
    std::size_t max_batch = 4096;
    /// Delay before the first retry of a failed store call. It doubles up to max_retry_delay.
    kernel::duration initial_retry_delay = std::chrono::milliseconds{20};
    kernel::duration max_retry_delay = std::chrono::seconds{1};
    /// How long a completion or release is retried while the store fails.
    kernel::duration retry_timeout = std::chrono::minutes{10};
    /// Maximum number of changes that wait for the store. Beyond it, claims are refused, but
    /// completions and releases are still accepted.
    std::size_t max_pending_changes = 10'000;
    /// Total size of the bucket values that are cached to save reads. Values above it are evicted
    /// on the next timer, except those of buckets with queued changes.
    std::size_t max_cached_bytes = std::size_t{8} * 1024 * 1024;
    /// A claim that would make its bucket larger than this is refused. The space between this
    /// and the store's limit is reserved for replies.
    std::size_t max_bucket_bytes = std::size_t{768} * 1024;
    /// Longer replies are not stored.
    std::size_t max_reply_bytes = 4096;
    wall_time retention = default_retention;
    std::uint32_t buckets = 1024;

    // Switches for the checks that at-most-once execution depends on. Tests disable a switch to
    // verify that the simulation detects the resulting violation; production code leaves all of
    // them enabled.

    /// If false, a write without a reply is assumed to have succeeded.
    bool read_back_unconfirmed_writes = true;
    /// If false, a claim overwrites the unfinished claim of another instance or request.
    bool prevent_claim_takeover = true;
    /// If false, claims are granted after their deadline.
    bool check_deadline = true;
    friend auto operator<=>(const claim_policy&, const claim_policy&) = default;
};

/// Counters of calls to the claim table and the store, for the state dump and measurements.
struct claim_counts {
    std::uint64_t claims = 0;
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
    std::uint64_t conflicts = 0;
    std::uint64_t read_backs = 0;
    std::uint64_t refused = 0;
    friend auto operator<=>(const claim_counts&, const claim_counts&) = default;
};

/// The counts as a JSON object.
[[nodiscard]] std::string to_json(const claim_counts& counts);

/// The bucket of a key. Precondition: buckets > 0.
[[nodiscard]] std::uint32_t bucket_of(const claim_key& key, std::uint32_t buckets);

/// The store key of a bucket: `claims/<bucket>`.
[[nodiscard]] std::string store_key_of(std::uint32_t bucket);

/// The home instance of a bucket, which should make all its claims, by rendezvous hashing. Empty
/// if `instances` is empty. If two instances disagree about the home, their writes may conflict,
/// but an action is still executed at most once.
[[nodiscard]] std::optional<model::instance_id> home_of(
    std::uint32_t bucket, const std::vector<model::instance_id>& instances);

}  // namespace poplarfront::at_most_once
