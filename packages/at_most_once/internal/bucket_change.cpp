#include "at_most_once/internal/bucket_change.h"

namespace poplarfront::at_most_once::internal {
namespace {

change_decision without_write(const bucket_change& change, claim_status status,
                              std::string_view reason) {
    return {false, false, {change.ticket, status, {}, "", std::string{reason}}};
}

change_decision with_write(const bucket_change& change, claim_status status) {
    return {true, false, {change.ticket, status}};
}

}  // namespace

change_evaluator::change_evaluator(const claim_bucket& base, change_evaluator_options options)
    : base_(base), options_(options), bytes_(base.max_encoded_size()) {}

change_decision change_evaluator::decide(const bucket_change& change) {
    switch (change.kind) {
        case change_kind::claim:
            return decide_claim(change);
        case change_kind::complete:
            return decide_complete(change);
        case change_kind::release:
            return decide_release(change);
    }
    return without_write(change, claim_status::refused, "");
}

const claim_record* change_evaluator::find(const claim_key& key) const {
    const auto changed = changes_.find(key);
    return changed == changes_.end() ? base_.find(key) : &changed->second;
}

change_decision change_evaluator::decide_claim(const bucket_change& change) {
    if (change.abandoned || (options_.check_deadline && change.deadline <= options_.now)) {
        return without_write(change, claim_status::refused, reason_deadline);
    }
    const auto* found = find(change.key);
    if (found != nullptr && found->state == claim_state::completed) {
        auto decision = without_write(change, claim_status::already_completed,
                                      found->reply_dropped ? reason_reply_not_kept : "");
        decision.result.reply = found->reply;
        return decision;
    }
    if (found != nullptr && found->state == claim_state::claimed) {
        if (found->nonce == change.nonce) {
            return without_write(change, claim_status::held, "");
        }
        if (options_.prevent_claim_takeover) {
            auto decision = without_write(change, claim_status::in_progress, "");
            decision.needs_fresh_value = true;
            return decision;
        }
    }
    if (found == nullptr && bytes_ + record_overhead_bytes > options_.max_bytes_for_claims) {
        return without_write(change, claim_status::refused, reason_bucket_full);
    }
    put(change.key, {change.nonce, claim_state::claimed, change.issued});
    return with_write(change, claim_status::held);
}

change_decision change_evaluator::decide_complete(const bucket_change& change) {
    const auto* found = find(change.key);
    if (found == nullptr || found->nonce != change.nonce) {
        return without_write(change, claim_status::not_recorded, "claim_gone");
    }
    if (found->state == claim_state::completed) {
        return without_write(change, claim_status::recorded, "");
    }
    claim_record record{change.nonce, claim_state::completed, change.issued, change.reply,
                        change.reply_dropped};
    if (bytes_ + record.reply.size() > options_.max_bytes) {
        record.reply.clear();
        record.reply_dropped = true;
    }
    put(change.key, std::move(record));
    return with_write(change, claim_status::recorded);
}

change_decision change_evaluator::decide_release(const bucket_change& change) {
    const auto* found = find(change.key);
    const bool has_own_nonce = found != nullptr && found->nonce == change.nonce;
    const bool is_own_open_claim = has_own_nonce && found->state == claim_state::claimed;
    // A write of the claim that is still in flight expects the version that it was based on.
    // Storing a released record changes the version, so that write can no longer take effect.
    // A claimed or completed record of another claim has already changed the version.
    const bool needs_fence = change.in_doubt && !has_own_nonce &&
                             (found == nullptr || found->state == claim_state::released);
    if (!is_own_open_claim && !needs_fence) {
        return without_write(change, claim_status::recorded, "");
    }
    put(change.key, {change.nonce, claim_state::released, change.issued});
    return with_write(change, claim_status::recorded);
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
