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

/// A change of one record that waits for the store.
struct bucket_change {
    change_kind kind = change_kind::claim;
    claim_ticket ticket = 0;
    claim_key key;
    std::uint64_t nonce = 0;
    wall_time issued{0};
    /// After this a claim is not held, and the end of a claim is no longer retried.
    kernel::time_point deadline;
    kernel::time_point arrived;
    /// Only for complete.
    std::string reply;
    bool reply_dropped = false;
    /// A write that includes it got no reply and may still take effect.
    bool in_doubt = false;
    /// A claim that its caller no longer waits for.
    bool abandoned = false;
    /// No event is given when it ends.
    bool silent = false;
    /// How it ends if the write under way succeeds.
    claim_event result;
    friend auto operator<=>(const bucket_change&, const bucket_change&) = default;
};

struct change_evaluator_options {
    kernel::time_point now;
    std::size_t max_bytes_for_claims = 0;
    std::size_t max_bytes = 0;
    bool prevent_claim_takeover = true;
    bool check_deadline = true;
    friend auto operator<=>(const change_evaluator_options&,
                            const change_evaluator_options&) = default;
};

/// What to do with a change.
struct change_decision {
    /// The value must be written; `result` holds once that succeeded, else it holds now.
    bool write = false;
    /// The result may come from an old value of the bucket.
    bool needs_fresh_value = false;
    claim_event result;
    friend auto operator<=>(const change_decision&, const change_decision&) = default;
};

/// Decides on the changes of one write in order; each sees the effects of those before it.
class change_evaluator {
public:
    /// Precondition: `base` outlives the set.
    change_evaluator(const claim_bucket& base, change_evaluator_options limits);

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
    change_evaluator_options limits_;
    std::size_t bytes_;
    std::map<claim_key, claim_record> changes_;
};

}  // namespace poplarfront::at_most_once::internal
