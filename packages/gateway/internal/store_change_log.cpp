#include "gateway/store_change_log.h"

#include <algorithm>

namespace poplarfront::gateway {

void store_change_log::add(const store_update& update) {
    if (update.complete) {
        // Keys that are not in a complete listing were deleted at an unknown revision.
        existing_.clear();
        deletions_.clear();
        deletions_incomplete_until_ = std::max(deletions_incomplete_until_, update.revision);
    }
    for (const auto& it : update.changes) {
        const auto known = existing_.find(it.key);
        if (known != existing_.end() && known->second.revision >= it.revision) {
            continue;
        }
        if (it.deleted) {
            existing_.erase(it.key);
            add_deletion(it);
        } else {
            existing_[it.key] = it;
        }
    }
    revision_ = std::max(revision_, update.revision);
}

void store_change_log::add_deletion(const store_change& change) {
    deletions_.push_back(change);
    if (deletions_.size() > max_deletions_) {
        deletions_incomplete_until_ =
            std::max(deletions_incomplete_until_, deletions_.front().revision);
        deletions_.pop_front();
    }
}

store_update store_change_log::since(std::uint64_t after) const {
    store_update update;
    update.revision = revision_;
    update.complete = after < deletions_incomplete_until_ || after == 0;
    update.after = update.complete ? 0 : after;
    for (const auto& [key, change] : existing_) {
        if (update.complete || change.revision > after) {
            update.changes.push_back(change);
        }
    }
    if (!update.complete) {
        for (const auto& it : deletions_) {
            if (it.revision > after) {
                update.changes.push_back(it);
            }
        }
    }
    return update;
}

}  // namespace poplarfront::gateway
