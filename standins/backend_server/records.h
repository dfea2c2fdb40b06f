#pragma once

#include <optional>
#include <string_view>
#include <vector>

#include "backend_server/backend_behaviour.h"

namespace poplarfront::standins {

/// The shard of a service that owns a key, by rendezvous hashing.
/// Precondition: `shards` is not empty.
model::shard_id owning_shard(const std::vector<model::shard_id>& shards, std::string_view key);

/// The records of one shard that match a query. The first word of the query selects: `key:K` the
/// record K if the shard owns it, `all` one record per shard, anything else none. The body of each
/// record states version and shard.
std::vector<model::record> matching_records(const shard_layout& layout,
                                            const model::shard_ref& shard,
                                            model::index_version version, std::string_view query);

/// The index version that the body of a record states; nothing if it states none.
std::optional<model::index_version> stated_version(std::string_view body);

}  // namespace poplarfront::standins
