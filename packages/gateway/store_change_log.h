#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>

#include "gateway/store_update.h"

namespace poplarfront::gateway {

/// The keys and changes that an instance has read from the store, kept for instances that cannot
/// reach the store themselves. Not thread-safe.
class store_change_log {
public:
    /// `max_deletions`: maximum number of deletions that are kept. An instance whose revision is
    /// older than the kept deletions gets all keys instead of the changes.
    explicit store_change_log(std::size_t max_deletions = 1000) : max_deletions_(max_deletions) {}

    /// Whether an update of another instance may be added: it is newer, and no change between the
    /// known revision and those of the update is missing. A reply to the request of an earlier
    /// process of this instance, which knew a later revision, may arrive after a restart.
    [[nodiscard]] bool accepts(const store_update& update) const {
        const bool continues = revision_ > 0 && update.after <= revision_;
        return update.revision > revision_ && (update.complete || continues);
    }

    /// Adds the changes of an update. Changes of an existing key that are older than the known one
    /// are ignored. Deleted keys are not compared, so updates should be added in ascending order of
    /// revision.
    void add(const store_update& update);

    /// The revision up to which all changes are known; 0 if none are.
    [[nodiscard]] std::uint64_t revision() const { return revision_; }

    /// The existing keys, by name.
    [[nodiscard]] const std::map<std::string, store_change>& existing() const { return existing_; }

    /// The update for an instance that knows all changes up to revision `after`.
    [[nodiscard]] store_update since(std::uint64_t after) const;

private:
    void add_deletion(const store_change& change);

    std::size_t max_deletions_;
    std::map<std::string, store_change> existing_;
    /// In order of arrival.
    std::deque<store_change> deletions_;
    /// Deletions up to this revision may be missing.
    std::uint64_t deletions_incomplete_until_ = 0;
    std::uint64_t revision_ = 0;
};

}  // namespace poplarfront::gateway
