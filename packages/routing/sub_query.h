#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "model/backend.h"
#include "model/search.h"

namespace poplarfront::routing {

/// The part of a query that one owner executes.
struct sub_query_batch {
    model::request_id request;
    /// Unique within the request, over owners, resends and restarts.
    std::uint32_t batch = 0;
    model::searcher_id searcher;
    model::pinned_snapshot snapshot;
    std::string query;
    kernel::time_point deadline;
    std::vector<model::shard_ref> shards;
    friend auto operator<=>(const sub_query_batch&, const sub_query_batch&) = default;
};

/// What an owner found for one shard.
struct shard_result {
    model::shard_ref shard;
    model::missing_reason reason = model::missing_reason::none;
    /// The version the records were read at; only if the reason is none.
    model::index_version version;
    std::vector<model::record> records;
    /// The versions that the replica which replied last holds, if one replied.
    std::optional<model::version_range> versions;
    /// A connection was lost while the sub-query may have been executing.
    bool crash_symptom = false;
    /// The backend servers to which such connections were lost; sorted.
    std::vector<model::server_id> crashed;
    friend auto operator<=>(const shard_result&, const shard_result&) = default;
};

struct sub_query_result {
    model::request_id request;
    std::uint32_t batch = 0;
    model::searcher_id searcher;
    std::vector<shard_result> shards;
    friend auto operator<=>(const sub_query_result&, const sub_query_result&) = default;
};

}  // namespace poplarfront::routing
