#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "kernel/concepts.h"

namespace poplarfront::gateway {

/// The last change of a key of the store.
struct store_change {
    std::string key;
    /// Empty if the key was deleted.
    std::string value;
    /// Revision of the change.
    std::uint64_t revision = 0;
    bool deleted = false;
    friend auto operator<=>(const store_change&, const store_change&) = default;
};

/// Changes of the store up to a revision, or a page of a listing of its keys.
struct store_update {
    /// The revision up to which all changes are included.
    std::uint64_t revision = 0;
    /// Whether `changes` holds the existing keys of a page instead of the changes since a revision.
    bool listing = false;
    std::vector<store_change> changes;
    /// Only if not a listing: `changes` holds all changes after this revision.
    std::uint64_t after = 0;
    /// Only in a listing: the page holds all existing keys after `after_key`, up to `until_key` if
    /// `more` is set. The pages of a listing are not a snapshot: changes after the lowest revision
    /// of all pages may be missing.
    std::string after_key;
    std::string until_key;
    /// Whether another update follows this one.
    bool more = false;
    /// The newest revision that the sender of this update knows. A change that was replaced by one
    /// up to this revision is left out.
    std::uint64_t latest = 0;
    /// Only if not a listing, and not 0: the receiver must not know any change after this revision,
    /// since the sender does not know whether the key was deleted later.
    std::uint64_t max_known = 0;
    /// How long ago the sender of this update last knew that it could follow the store. Changes
    /// that are younger may be missing.
    kernel::duration age{};
    friend auto operator<=>(const store_update&, const store_update&) = default;
};

/// Size in bytes of a change in a message, rounded up. Thread-safe.
inline std::size_t size_of(const store_change& change) {
    // Covers the revision and the framing of the fields.
    constexpr std::size_t overhead = 32;
    return change.key.size() + change.value.size() + overhead;
}

/// Size in bytes of the changes of an update in a message, rounded up. Thread-safe.
inline std::size_t size_of(const store_update& update) {
    std::size_t bytes = 0;
    for (const auto& it : update.changes) {
        bytes += size_of(it);
    }
    return bytes;
}

/// What an instance knows of the store, as the instance that it asks for updates has to know.
struct store_position {
    /// All changes up to this revision are known; 0 if none are.
    std::uint64_t revision = 0;
    /// The newest revision of which some changes are known or were left out of an update, at least
    /// `revision`. An instance that knows less cannot continue the updates received so far.
    std::uint64_t latest = 0;
    /// The last key of the listing that is being received; empty if there is none.
    std::string listed_until;
    friend auto operator<=>(const store_position&, const store_position&) = default;
};

}  // namespace poplarfront::gateway
