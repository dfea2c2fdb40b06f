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
    /// The writer may have sent the action, or still will.
    claimed,
    /// The action was executed.
    completed,
    /// The writer did not run the action and never will; it may be claimed again.
    released,
};

/// One action as the store knows it.
struct claim_record {
    /// Names the claim; never 0.
    std::uint64_t nonce = 0;
    claim_state state = claim_state::claimed;
    wall_time issued{0};
    /// The backend server's reply; only if done.
    std::string reply;
    /// The reply was too large to keep.
    bool reply_dropped = false;
    friend auto operator<=>(const claim_record&, const claim_record&) = default;
};

/// An upper bound of the encoded size of a record without its reply, in bytes.
inline constexpr std::size_t record_overhead_bytes = 64;

/// The records of one bucket. Immutable.
struct claim_bucket {
    std::map<claim_key, claim_record> records;

    /// Null if there is none. Valid while this bucket lives.
    [[nodiscard]] const claim_record* find(const claim_key& key) const;
    /// This bucket with `changes` applied, without records issued before `purge_before`.
    [[nodiscard]] claim_bucket with(const std::map<claim_key, claim_record>& changes,
                                    wall_time purge_before) const&;
    /// Without copying the other records; a bucket may have thousands.
    [[nodiscard]] claim_bucket with(const std::map<claim_key, claim_record>& changes,
                                    wall_time purge_before) &&;
    /// An upper bound of the encoded size.
    [[nodiscard]] std::size_t max_encoded_size() const;
    friend bool operator==(const claim_bucket&, const claim_bucket&) = default;
};

/// Encodes buckets as store values.
template <class T>
concept bucket_codec = requires(const claim_bucket& bucket, std::string_view bytes) {
    { T::encode(bucket) } -> std::same_as<std::string>;
    { T::decode(bytes) } -> std::same_as<kernel::result<claim_bucket>>;
};

/// Names one call of a claim table.
using claim_ticket = std::uint64_t;

struct claim_request {
    claim_key key;
    wall_time issued{0};
    /// No claim is held after this.
    kernel::time_point deadline;
    friend auto operator<=>(const claim_request&, const claim_request&) = default;
};

/// A claim that its owner may act on.
struct held_claim {
    claim_key key;
    std::uint64_t nonce = 0;
    wall_time issued{0};
    friend auto operator<=>(const held_claim&, const held_claim&) = default;
};

enum class claim_status {
    /// The record has the caller's nonce: the caller alone may send.
    held,
    /// The action was executed before; `reply` is the recorded one.
    already_completed,
    /// Another claim has not ended; the action may have run.
    in_progress,
    /// Nothing is claimed, and nothing will be sent under this ticket; `reason` says why.
    refused,
    /// The end of the claim is in the store.
    recorded,
    /// The end of the claim could not be recorded.
    not_recorded,
};

/// How a call of a claim table ended.
struct claim_event {
    claim_ticket ticket = 0;
    claim_status status = claim_status::refused;
    /// Only if held.
    held_claim claim;
    std::string reply;
    std::string reason;
    friend auto operator<=>(const claim_event&, const claim_event&) = default;
};

/// What action_session needs of a claim table.
template <class T>
concept claim_service = requires(T& claims, const claim_request& request, wall_time now,
                                 const held_claim& claim, claim_ticket ticket, std::string reply) {
    // Ends in held, already_completed, in_progress or refused.
    { claims.claim(request, now) } -> std::same_as<claim_ticket>;
    // The caller no longer waits; if the claim is or becomes held, it is released.
    { claims.abandon(ticket) } -> std::same_as<void>;
    // Both end in recorded or not_recorded.
    { claims.complete(claim, reply) } -> std::same_as<claim_ticket>;
    { claims.release(claim) } -> std::same_as<claim_ticket>;
};

/// Limits and mechanisms of a claim table.
struct claim_policy {
    /// Changes of one bucket that arrive within this time share one write.
    kernel::duration batch_window = std::chrono::milliseconds{2};
    /// Changes per write; 1 switches batching off.
    std::size_t max_batch = 4096;
    /// Delay before the first repetition of a failed store call; it doubles up to the longest.
    kernel::duration initial_retry_delay = std::chrono::milliseconds{20};
    kernel::duration max_retry_delay = std::chrono::seconds{1};
    /// How long the end of a claim is kept for writing while the store fails.
    kernel::duration retry_timeout = std::chrono::minutes{10};
    /// Claims and ends of claims that wait; claims beyond it are refused.
    std::size_t max_pending_changes = 10'000;
    /// Values of buckets kept in memory to save reads.
    std::size_t max_cached_bytes = std::size_t{8} * 1024 * 1024;
    /// A claim that makes a bucket larger is refused. The rest up to the store's limit is for
    /// replies.
    std::size_t max_bucket_bytes = std::size_t{768} * 1024;
    /// Longer replies are not kept.
    std::size_t max_reply_bytes = 4096;
    wall_time retention = default_retention;
    std::uint32_t buckets = 1024;

    // The mechanisms that a guarantee rests on. Off only in tests, which show with it that they
    // detect the violation.
    /// Off: a write without a reply is taken as done.
    bool read_back_unconfirmed_writes = true;
    /// Off: a claim is taken over from another instance.
    bool prevent_claim_takeover = true;
    /// Off: claims are held after their deadline.
    bool check_deadline = true;
    friend auto operator<=>(const claim_policy&, const claim_policy&) = default;
};

/// Calls made so far, for the state dump and for measurements.
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

/// The instance that should make the claims of a bucket (rendezvous hash); nothing if `instances`
/// is empty. A wrong choice costs conflicts, not correctness.
[[nodiscard]] std::optional<model::instance_id> home_of(
    std::uint32_t bucket, const std::vector<model::instance_id>& instances);

}  // namespace poplarfront::at_most_once
