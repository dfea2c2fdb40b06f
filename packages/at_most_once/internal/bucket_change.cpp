#include "at_most_once/internal/bucket_change.h"

namespace poplarfront::at_most_once::internal {
namespace {

change_decision settled(const bucket_change& change, claim_status status, std::string_view reason) {
    return {false, false, {change.ticket, status, {}, "", std::string{reason}}};
}

change_decision written(const bucket_change& change, claim_status status) {
    return {true, false, {change.ticket, status}};
}

}  // namespace

change_evaluator::change_evaluator(const claim_bucket& base, change_evaluator_options limits)
    : base_(base), limits_(limits), bytes_(base.max_encoded_size()) {}

change_decision change_evaluator::decide(const bucket_change& change) {
    switch (change.kind) {
        case change_kind::claim:
            return decide_claim(change);
        case change_kind::complete:
            return decide_complete(change);
        case change_kind::release:
            return decide_release(change);
    }
    return settled(change, claim_status::refused, "");
}

const claim_record* change_evaluator::find(const claim_key& key) const {
    const auto changed = changes_.find(key);
    return changed == changes_.end() ? base_.find(key) : &changed->second;
}

change_decision change_evaluator::decide_claim(const bucket_change& change) {
    if (change.abandoned || (limits_.check_deadline && change.deadline <= limits_.now)) {
        return settled(change, claim_status::refused, reason_deadline);
    }
    const auto* found = find(change.key);
    if (found != nullptr && found->state == claim_state::completed) {
        auto decision = settled(change, claim_status::already_completed,
                                found->reply_dropped ? reason_reply_not_kept : "");
        decision.result.reply = found->reply;
        return decision;
    }
    if (found != nullptr && found->state == claim_state::claimed) {
        if (found->nonce == change.nonce) {
            return settled(change, claim_status::held, "");
        }
        if (limits_.prevent_claim_takeover) {
            auto decision = settled(change, claim_status::in_progress, "");
            decision.needs_fresh_value = true;
            return decision;
        }
    }
    if (found == nullptr && bytes_ + record_overhead_bytes > limits_.max_bytes_for_claims) {
        return settled(change, claim_status::refused, reason_bucket_full);
    }
    put(change.key, {change.nonce, claim_state::claimed, change.issued});
    return written(change, claim_status::held);
}

change_decision change_evaluator::decide_complete(const bucket_change& change) {
    const auto* found = find(change.key);
    if (found == nullptr || found->nonce != change.nonce) {
        return settled(change, claim_status::not_recorded, "claim_gone");
    }
    if (found->state == claim_state::completed) {
        return settled(change, claim_status::recorded, "");
    }
    claim_record record{change.nonce, claim_state::completed, change.issued, change.reply,
                        change.reply_dropped};
    if (bytes_ + record.reply.size() > limits_.max_bytes) {
        record.reply.clear();
        record.reply_dropped = true;
    }
    put(change.key, std::move(record));
    return written(change, claim_status::recorded);
}

change_decision change_evaluator::decide_release(const bucket_change& change) {
    const auto* found = find(change.key);
    const bool own = found != nullptr && found->nonce == change.nonce;
    const bool own_claimed = own && found->state == claim_state::claimed;
    // A write of the claim that is still under way expects the version it was based on. Writing the
    // released record changes the version, so that write cannot take effect any more.
    const bool fences =
        change.in_doubt && !own && (found == nullptr || found->state == claim_state::released);
    if (!own_claimed && !fences) {
        return settled(change, claim_status::recorded, "");
    }
    put(change.key, {change.nonce, claim_state::released, change.issued});
    return written(change, claim_status::recorded);
}

void change_evaluator::put(const claim_key& key, claim_record record) {
    const auto* replaced = find(key);
    if (replaced != nullptr) {
        bytes_ -= record_overhead_bytes + replaced->reply.size();
    }
    bytes_ += record_overhead_bytes + record.reply.size();
    changes_.insert_or_assign(key, std::move(record));
}

}  // namespace poplarfront::at_most_once::internal
