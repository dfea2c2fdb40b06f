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
    /// Batch number; unique within the request, over all owners, resends and restarts.
    std::uint32_t batch = 0;
    model::searcher_id searcher;
    model::pinned_snapshot snapshot;
    std::string query;
    kernel::time_point deadline;
    std::vector<model::shard_ref> shards;
    friend auto operator<=>(const sub_query_batch&, const sub_query_batch&) = default;
};

/// The outcome of one shard of a batch: its records, or the reason why they are missing.
struct shard_result {
    model::shard_ref shard;
    model::missing_reason reason = model::missing_reason::none;
    /// The index version of the records; set only if the reason is none.
    model::index_version version;
    std::vector<model::record> records;
    /// The versions held by the replica that replied last; absent if none replied.
    std::optional<model::version_range> versions;
    /// Whether a connection was lost while the backend server may have been executing the
    /// sub-query.
    bool crash_symptom = false;
    /// The backend servers whose connections were lost in this way; sorted.
    std::vector<model::server_id> crashed;
    friend auto operator<=>(const shard_result&, const shard_result&) = default;
};

/// The result of one batch, with all its shards.
struct sub_query_result {
    model::request_id request;
    std::uint32_t batch = 0;
    model::searcher_id searcher;
    std::vector<shard_result> shards;
    friend auto operator<=>(const sub_query_result&, const sub_query_result&) = default;
};

}  // namespace poplarfront::routing
