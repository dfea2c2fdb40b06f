#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

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

/// Changes of the store up to a revision.
struct store_update {
    /// The revision up to which all changes are included.
    std::uint64_t revision = 0;
    /// Whether `changes` holds all existing keys instead of the changes since a revision.
    bool complete = false;
    std::vector<store_change> changes;
    /// Only if not complete: `changes` holds all changes after this revision.
    std::uint64_t after = 0;
    friend auto operator<=>(const store_update&, const store_update&) = default;
};

}  // namespace poplarfront::gateway
