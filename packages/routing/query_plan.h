#pragma once

#include <concepts>
#include <vector>

#include "model/identifier.h"
#include "model/search.h"

namespace poplarfront::routing {

/// Shards with the same owners. They are sent to one owner together, except for a canary.
struct shard_group {
    std::vector<model::shard_ref> shards;
    /// The instances that may execute the shards, in order of preference.
    std::vector<model::instance_id> owners;
    friend auto operator<=>(const shard_group&, const shard_group&) = default;
};

/// The snapshot that a query reads, and the owners of its shards. Each shard is in one group only,
/// and there is at least one shard: an answer without shards would count as complete.
struct query_plan {
    model::pinned_snapshot snapshot;
    std::vector<shard_group> groups;
    friend auto operator<=>(const query_plan&, const query_plan&) = default;
};

/// Plans a search from the current shard map, the index versions held by replicas, and the owners
/// that are alive.
template <class T>
concept query_planner = requires(T& planner, const model::search_request& request) {
    { planner.plan(request) } -> std::same_as<query_plan>;
};

}  // namespace poplarfront::routing
