#include "gateway/store_change_log.h"

#include <algorithm>
#include <set>
#include <string_view>

namespace poplarfront::gateway {
namespace {

/// Listings are rare, since they follow a loss of the store's history. Older gaps count as if all
/// earlier deletions were missing.
constexpr std::size_t max_deletion_gaps = 16;

void insert_or_replace(store_contents& contents, const store_change& change) {
    const auto [it, inserted] = contents.insert(change);
    if (!inserted) {
        contents.replace(it, change);
    }
}

}  // namespace

bool store_change_log::accepts(const store_update& update) const {
    if (update.revision <= revision_) {
        return false;
    }
    if (update.listing) {
        return update.after_key == peer_listing_.until_key;
    }
    return revision_ > 0 && update.after <= revision_ &&
           (update.max_known == 0 || position().latest <= update.max_known);
}

void store_change_log::add(const store_update& update) {
    if (update.listing) {
        add_page(update, peer_listing_);
        return;
    }
    for (const auto& it : update.changes) {
        add_change(it);
    }
    revision_ = std::max(revision_, update.revision);
    if (update.more) {
        latest_ = std::max(latest_, update.latest);
    }
    peer_listing_ = {};
}

void store_change_log::add_page(const store_update& page, listing_progress& progress) {
    std::set<std::string_view> listed;
    for (const auto& it : page.changes) {
        listed.insert(it.key);
    }
    // The earliest possible revision of the deletions that the page shows. With a later one,
    // changes up to a revision in between would lack them.
    const auto deleted_at = revision_ + 1;
    auto it = page.after_key.empty() ? existing_.begin() : existing_.upper_bound(page.after_key);
    while (it != existing_.end() && (!page.more || it->key <= page.until_key)) {
        if (listed.contains(it->key) || it->revision > page.revision) {
            ++it;
        } else {
            add_deletion({it->key, "", deleted_at, true});
            it = existing_.erase(it);
        }
    }
    for (const auto& change : page.changes) {
        add_change(change);
    }
    progress.revision =
        page.after_key.empty() ? page.revision : std::min(progress.revision, page.revision);
    progress.until_key = page.more ? page.until_key : "";
    if (!page.more) {
        finish_listing(progress.revision);
    }
}

void store_change_log::finish_listing(std::uint64_t revision) {
    const bool is_partial = latest_ > revision_;
    if (revision_ == 0 || is_partial) {
        deletions_incomplete_until_ = std::max(deletions_incomplete_until_, revision);
    } else if (revision > revision_) {
        deletion_gaps_.emplace_back(revision_, revision);
        if (deletion_gaps_.size() > max_deletion_gaps) {
            deletions_incomplete_until_ =
                std::max(deletions_incomplete_until_, deletion_gaps_.front().second);
            deletion_gaps_.erase(deletion_gaps_.begin());
        }
    }
    revision_ = std::max(revision_, revision);
    peer_listing_ = {};
}

void store_change_log::add_change(const store_change& change) {
    const auto known = existing_.find(change.key);
    if (known != existing_.end() && known->revision >= change.revision) {
        return;
    }
    const auto deletion = deletions_.find(change.key);
    if (deletion != deletions_.end() && deletion->revision >= change.revision) {
        return;
    }
    if (change.deleted) {
        if (known != existing_.end()) {
            existing_.erase(known);
        }
        add_deletion(change);
        return;
    }
    if (deletion != deletions_.end()) {
        deletions_.erase(deletion);
    }
    insert_or_replace(existing_, change);
}

void store_change_log::add_deletion(const store_change& change) {
    insert_or_replace(deletions_, change);
    if (deletions_.size() > max_deletions_) {
        auto& oldest_first = deletions_.get<by_revision>();
        deletions_incomplete_until_ =
            std::max(deletions_incomplete_until_, oldest_first.begin()->revision);
        oldest_first.erase(oldest_first.begin());
    }
}

store_position store_change_log::position() const {
    auto latest = std::max(latest_, revision_);
    for (const auto* it : {&existing_, &deletions_}) {
        if (!it->empty()) {
            latest = std::max(latest, it->get<by_revision>().rbegin()->revision);
        }
    }
    return {revision_, latest, peer_listing_.until_key};
}

bool store_change_log::has_all_deletions_for(const store_position& known) const {
    return known.revision > 0 && known.revision >= deletions_incomplete_until_ &&
           std::none_of(deletion_gaps_.begin(), deletion_gaps_.end(), [&](const auto& gap) {
               return known.revision < gap.second &&
                      std::max(known.revision, known.latest) > gap.first;
           });
}

store_update store_change_log::since(const store_position& known, std::size_t max_bytes) const {
    return has_all_deletions_for(known) ? changes_after(known.revision, max_bytes)
                                        : page_after(known.listed_until, max_bytes);
}

std::optional<store_update> store_change_log::update_for(const store_position& known,
                                                         std::size_t max_bytes) const {
    if (revision_ == 0 || revision_ < std::max(known.revision, known.latest)) {
        return std::nullopt;
    }
    return since(known, max_bytes);
}

store_update store_change_log::changes_after(std::uint64_t revision, std::size_t max_bytes) const {
    store_update update;
    update.revision = revision_;
    update.latest = revision_;
    update.after = revision;
    for (const auto& [first, last] : deletion_gaps_) {
        if (last > revision) {
            update.max_known = update.max_known == 0 ? first : std::min(update.max_known, first);
        }
    }
    const auto& existing = existing_.get<by_revision>();
    const auto& deletions = deletions_.get<by_revision>();
    auto written = existing.upper_bound(revision);
    auto deleted = deletions.upper_bound(revision);
    std::size_t bytes = 0;
    while (written != existing.end() || deleted != deletions.end()) {
        const bool take_deleted =
            written == existing.end() ||
            (deleted != deletions.end() && deleted->revision < written->revision);
        const auto& change = take_deleted ? *deleted : *written;
        if (change.revision > revision_) {
            // Read by a listing that has not ended; an earlier change may still be missing.
            break;
        }
        // Changes of one revision stay together, so that the next update starts after them.
        if (bytes >= max_bytes && change.revision > update.changes.back().revision) {
            update.revision = update.changes.back().revision;
            update.more = true;
            break;
        }
        bytes += size_of(change);
        update.changes.push_back(change);
        if (take_deleted) {
            ++deleted;
        } else {
            ++written;
        }
    }
    return update;
}

store_update store_change_log::page_after(const std::string& key, std::size_t max_bytes) const {
    store_update page;
    page.revision = revision_;
    page.latest = revision_;
    page.listing = true;
    page.after_key = key;
    std::size_t bytes = 0;
    auto it = key.empty() ? existing_.begin() : existing_.upper_bound(key);
    for (; it != existing_.end() && bytes < max_bytes; ++it) {
        bytes += size_of(*it);
        page.changes.push_back(*it);
    }
    if (it != existing_.end()) {
        page.more = true;
        page.until_key = page.changes.back().key;
    }
    return page;
}

}  // namespace poplarfront::gateway
