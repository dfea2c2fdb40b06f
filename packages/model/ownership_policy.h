#pragma once

#include <compare>
#include <cstdint>

namespace poplarfront::model {

/// Which instances send requests to the backend servers of a shard group.
enum class owner_mode {
    /// Every working instance is an owner of every shard group.
    direct,
    /// Each shard group has at most `owners_per_group` owners.
    owned,
};

struct ownership_policy {
    owner_mode mode = owner_mode::direct;
    /// Maximum number of shards in one group. Shards that share backend servers are always in one
    /// group, which may exceed this number.
    std::uint32_t group_size = 14;
    std::uint32_t owners_per_group = 2;
    friend auto operator<=>(const ownership_policy&, const ownership_policy&) = default;
};

}  // namespace poplarfront::model
