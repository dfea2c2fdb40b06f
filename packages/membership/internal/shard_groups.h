#pragma once

#include <cstdint>
#include <vector>

#include "membership/ownership_table.h"

namespace poplarfront::membership::internal {

/// Divides the shards of a shard map into groups: shards that share a backend server are in one
/// group, and up to `group_size` consecutive shards of a service are combined. Deterministic.
std::vector<shard_group> make_groups(const model::shard_map& map, std::uint32_t group_size);

}  // namespace poplarfront::membership::internal
