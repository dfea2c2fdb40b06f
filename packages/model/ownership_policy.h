#pragma once

#include <compare>
#include <cstdint>

namespace poplarfront::model {

/// Who sends to backend servers.
enum class owner_mode {
    /// Every working instance owns every shard group.
    direct,
    /// Each shard group has a few owners.
    owned,
};

struct ownership_policy {
    owner_mode mode = owner_mode::direct;
    /// The most shards that are put into one group, unless they share backend servers.
    std::uint32_t group_size = 14;
    std::uint32_t owners_per_group = 2;
    friend auto operator<=>(const ownership_policy&, const ownership_policy&) = default;
};

}  // namespace poplarfront::model
