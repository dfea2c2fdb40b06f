#pragma once

#include <boost/multi_index/member.hpp>
#include <boost/multi_index/ordered_index.hpp>
#include <boost/multi_index_container.hpp>
#include <cstdint>
#include <functional>
#include <limits>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "gateway/store_update.h"

namespace poplarfront::gateway {

/// Index of store_contents in the order of the changes.
struct by_revision {};

/// Keys of the store with their last change, by key and by revision.
using store_contents = boost::multi_index_container<
    store_change,
    boost::multi_index::indexed_by<
        boost::multi_index::ordered_unique<
            boost::multi_index::member<store_change, std::string, &store_change::key>, std::less<>>,
        boost::multi_index::ordered_non_unique<
            boost::multi_index::tag<by_revision>,
            boost::multi_index::member<store_change, std::uint64_t, &store_change::revision>>>>;

/// How far a listing has been received.
struct listing_progress {
    /// The lowest revision of the pages.
    std::uint64_t revision = 0;
    /// The last key of the last page; empty before the first page and after the last one.
    std::string until_key;
    friend auto operator<=>(const listing_progress&, const listing_progress&) = default;
};

/// The keys and changes that an instance has read from the store, kept for instances that do not
/// read the store themselves. Not thread-safe.
class store_change_log {
public:
    static constexpr std::size_t unlimited = std::numeric_limits<std::size_t>::max();

    /// `max_deletions`: maximum number of deletions that are kept. An instance whose revision is
    /// older than the kept deletions gets a listing instead of the changes.
    explicit store_change_log(std::size_t max_deletions = 1000) : max_deletions_(max_deletions) {}

    /// Whether an update of another instance may be added: it is newer, and no change between the
    /// known revision and those of the update, or no key between the listed ones and those of the
    /// page, is missing. A reply to the request of an earlier process of this instance, which knew
    /// a later revision, may arrive after a restart.
    [[nodiscard]] bool accepts(const store_update& update) const;

    /// Adds an update of another instance, or changes that were read from the store. Changes that
    /// are older than the known change of their key are ignored. Precondition: accepts(update), or
    /// the changes were read from the store.
    void add(const store_update& update);

    /// Adds a page of a listing that is read from the store. Keys that the page shows as deleted
    /// are recorded as such. Precondition: `page` continues the listing with this progress.
    void add_page(const store_update& page, listing_progress& progress);

    /// The revision up to which all changes are known; 0 if none are.
    [[nodiscard]] std::uint64_t revision() const { return revision_; }

    /// The existing keys, by name.
    [[nodiscard]] const store_contents& existing() const { return existing_; }

    /// What this instance knows, for requests to other instances.
    [[nodiscard]] store_position position() const;

    /// The next update for an instance that knows `known`: the changes since its revision, or a
    /// page of a listing if they are not known here. If there is more than `max_bytes`, the update
    /// exceeds them by at most the changes of one revision, or one key of a listing.
    [[nodiscard]] store_update since(const store_position& known,
                                     std::size_t max_bytes = unlimited) const;

    /// As since(); absent if this instance knows less than it has to, so that another one has to
    /// be asked.
    [[nodiscard]] std::optional<store_update> update_for(const store_position& known,
                                                         std::size_t max_bytes) const;

private:
    [[nodiscard]] store_update changes_after(std::uint64_t revision, std::size_t max_bytes) const;
    [[nodiscard]] store_update page_after(const std::string& key, std::size_t max_bytes) const;
    /// Whether all deletions are known that an instance with this position may have missed.
    [[nodiscard]] bool has_all_deletions_for(const store_position& known) const;
    void add_change(const store_change& change);
    void add_deletion(const store_change& change);
    void finish_listing(std::uint64_t revision);

    std::size_t max_deletions_;
    store_contents existing_;
    store_contents deletions_;
    /// Deletions up to this revision may be missing.
    std::uint64_t deletions_incomplete_until_ = 0;
    /// Between these revisions, deletions of keys may be missing that were created there: a listing
    /// does not show keys that were both created and deleted since the revision known before.
    std::vector<std::pair<std::uint64_t, std::uint64_t>> deletion_gaps_;
    /// The listing that another instance is sending.
    listing_progress peer_listing_;
    std::uint64_t revision_ = 0;
    /// The newest revision that an instance knew which sent only a part of its changes.
    std::uint64_t latest_ = 0;
};

}  // namespace poplarfront::gateway
