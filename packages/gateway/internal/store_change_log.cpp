#include "gateway/store_change_log.h"

#include <algorithm>

namespace poplarfront::gateway {

void store_change_log::add(const store_update& news) {
    if (news.complete) {
        // What a listing does not name was deleted at a revision that is not known.
        existing_.clear();
        deletions_.clear();
        forgotten_ = std::max(forgotten_, news.revision);
    }
    for (const auto& it : news.changes) {
        const auto known = existing_.find(it.key);
        if (known != existing_.end() && known->second.revision >= it.revision) {
            continue;
        }
        if (it.deleted) {
            existing_.erase(it.key);
            remember_deletion(it);
        } else {
            existing_[it.key] = it;
        }
    }
    revision_ = std::max(revision_, news.revision);
}

void store_change_log::remember_deletion(const store_change& change) {
    deletions_.push_back(change);
    if (deletions_.size() > max_deletions_) {
        forgotten_ = std::max(forgotten_, deletions_.front().revision);
        deletions_.pop_front();
    }
}

store_update store_change_log::since(std::uint64_t after) const {
    store_update news;
    news.revision = revision_;
    news.complete = after < forgotten_ || after == 0;
    for (const auto& [key, change] : existing_) {
        if (news.complete || change.revision > after) {
            news.changes.push_back(change);
        }
    }
    if (!news.complete) {
        for (const auto& it : deletions_) {
            if (it.revision > after) {
                news.changes.push_back(it);
            }
        }
    }
    return news;
}

}  // namespace poplarfront::gateway
