#pragma once

#include <concepts>
#include <vector>

#include "model/identifier.h"
#include "model/search.h"

namespace poplarfront::routing {

/// Shards that one owner executes together.
struct shard_group {
    std::vector<model::shard_ref> shards;
    /// The instances that may execute them, the preferred one first.
    std::vector<model::instance_id> owners;
    friend auto operator<=>(const shard_group&, const shard_group&) = default;
};

/// The snapshot a query reads, and who executes which of its shards. No shard is in two groups, and
/// there is at least one: an answer without shards would count as complete.
struct query_plan {
    model::pinned_snapshot snapshot;
    std::vector<shard_group> groups;
    friend auto operator<=>(const query_plan&, const query_plan&) = default;
};

/// Plans a search by what is known now: the shard map, the versions served, and the live owners.
template <class T>
concept query_planner = requires(T& planner, const model::search_request& request) {
    { planner.plan(request) } -> std::same_as<query_plan>;
};

}  // namespace poplarfront::routing
