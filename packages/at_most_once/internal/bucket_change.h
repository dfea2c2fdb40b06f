#pragma once

#include <map>
#include <string>
#include <string_view>

#include "at_most_once/claim.h"

namespace poplarfront::at_most_once::internal {

inline constexpr std::string_view reason_deadline = "deadline";
inline constexpr std::string_view reason_bucket_full = "claims_full";
inline constexpr std::string_view reason_reply_not_kept = "reply_not_kept";

enum class change_kind { claim, complete, release };

/// A change of one record that is queued or being written.
struct bucket_change {
    change_kind kind = change_kind::claim;
    claim_ticket ticket = 0;
    claim_key key;
    std::uint64_t nonce = 0;
    /// When the request key was issued.
    wall_time issued{0};
    /// After this time a claim is not granted and a completion or release is not retried.
    kernel::time_point deadline;
    kernel::time_point arrived;
    /// Only for complete.
    std::string reply;
    bool reply_dropped = false;
    /// A write of this change, or of the claim that it releases, got no reply and may still take
    /// effect.
    bool in_doubt = false;
    /// The caller of this claim no longer waits for it.
    bool abandoned = false;
    /// No event is emitted when this change is finished.
    bool suppress_event = false;
    /// The event if the write in progress succeeds.
    claim_event result;
    friend auto operator<=>(const bucket_change&, const bucket_change&) = default;
};

/// The time, limits and checks that decisions depend on.
struct change_evaluator_options {
    kernel::time_point now;
    /// Maximum encoded size of the bucket after a claim.
    std::size_t max_bytes_for_claims = 0;
    /// Maximum encoded size of the bucket after a completion; a reply that does not fit is dropped.
    std::size_t max_bytes = 0;
    bool prevent_claim_takeover = true;
    bool check_deadline = true;
    friend auto operator<=>(const change_evaluator_options&,
                            const change_evaluator_options&) = default;
};

/// The result of evaluating one change.
struct change_decision {
    /// If true, the bucket must be written, and `result` applies once that has succeeded. If
    /// false, `result` applies at once.
    bool write = false;
    /// The decision may be based on an outdated value of the bucket.
    bool needs_fresh_value = false;
    claim_event result;
    friend auto operator<=>(const change_decision&, const change_decision&) = default;
};

/// Evaluates the changes of one write in order; each sees the effects of those before it.
class change_evaluator {
public:
    /// Precondition: `base` outlives this object.
    change_evaluator(const claim_bucket& base, change_evaluator_options options);

    change_decision decide(const bucket_change& change);

    /// The records to write.
    [[nodiscard]] const std::map<claim_key, claim_record>& changes() const { return changes_; }

private:
    [[nodiscard]] const claim_record* find(const claim_key& key) const;
    change_decision decide_claim(const bucket_change& change);
    change_decision decide_complete(const bucket_change& change);
    change_decision decide_release(const bucket_change& change);
    void put(const claim_key& key, claim_record record);

    const claim_bucket& base_;
    change_evaluator_options options_;
    std::size_t bytes_;
    std::map<claim_key, claim_record> changes_;
};

}  // namespace poplarfront::at_most_once::internal
