#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>

#include "gateway/store_update.h"

namespace poplarfront::gateway {

/// What an instance has read from the store, kept so that instances which do not reach the store
/// can learn it. Not thread-safe.
class store_change_log {
public:
    /// `max_deletions`: deletions that are remembered. Who knows less than these gets all keys.
    explicit store_change_log(std::size_t max_deletions = 1000) : max_deletions_(max_deletions) {}

    void add(const store_update& news);

    /// All changes up to this revision are known; 0 if nothing is.
    [[nodiscard]] std::uint64_t revision() const { return revision_; }

    /// The keys that exist, by name.
    [[nodiscard]] const std::map<std::string, store_change>& existing() const { return existing_; }

    /// What an instance that knows all changes up to `after` lacks.
    [[nodiscard]] store_update since(std::uint64_t after) const;

private:
    void remember_deletion(const store_change& change);

    std::size_t max_deletions_;
    std::map<std::string, store_change> existing_;
    /// In order of revision.
    std::deque<store_change> deletions_;
    /// Deletions up to this revision may be forgotten.
    std::uint64_t forgotten_ = 0;
    std::uint64_t revision_ = 0;
};

}  // namespace poplarfront::gateway
