#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace poplarfront::gateway {

/// One key of the store as it was at a revision.
struct store_change {
    std::string key;
    /// Empty if the key was deleted.
    std::string value;
    /// Of its last change.
    std::uint64_t revision = 0;
    bool deleted = false;
    friend auto operator<=>(const store_change&, const store_change&) = default;
};

/// What is known of the store.
struct store_update {
    /// All changes up to it are known.
    std::uint64_t revision = 0;
    /// Whether `changes` are all keys that exist, rather than those changed since an earlier
    /// revision.
    bool complete = false;
    std::vector<store_change> changes;
    friend auto operator<=>(const store_update&, const store_update&) = default;
};

}  // namespace poplarfront::gateway
