#pragma once

#include <cstdint>
#include <vector>

#include "membership/ownership_table.h"

namespace poplarfront::membership::internal {

/// Divides the shards of a shard map into groups: shards that share a backend server are in one
/// group, and consecutive shards of a service are combined up to `group_size` shards. A group has
/// more only if its shards are connected by shared backend servers. The result depends only on the
/// arguments.
std::vector<shard_group> make_groups(const model::shard_map& map, std::uint32_t group_size);

}  // namespace poplarfront::membership::internal
