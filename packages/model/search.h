#pragma once

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "kernel/concepts.h"
#include "model/identifier.h"

namespace poplarfront::model {

/// One shard of one service.
struct shard_ref {
    service_id service;
    shard_id shard;
    friend auto operator<=>(const shard_ref&, const shard_ref&) = default;
};

/// The snapshot a query reads: every shard answers at this index version, as cut by this map.
struct pinned_snapshot {
    revision map_revision;
    index_version version;
    friend auto operator<=>(const pinned_snapshot&, const pinned_snapshot&) = default;
};

/// A search as a caller states it.
struct search_request {
    request_id request;
    searcher_id searcher;
    /// The services whose shards are all searched; never empty.
    std::vector<service_id> services;
    std::string query;
    kernel::time_point deadline;
    friend auto operator<=>(const search_request&, const search_request&) = default;
};

/// One record of an answer.
struct record {
    std::string key;
    std::string body;
    friend auto operator<=>(const record&, const record&) = default;
};

/// Why a shard is missing from an answer.
enum class missing_reason {
    none,
    no_replica,
    timed_out,
    shed,
    version_unavailable,
    map_changed,
    connection_lost,
    quarantined,
    owner_lost,
    refused,
};
[[nodiscard]] std::string_view to_string(missing_reason reason);

/// The outcome of one shard within one query: covered if `reason` is none.
struct shard_outcome {
    shard_ref shard;
    missing_reason reason = missing_reason::none;
    friend auto operator<=>(const shard_outcome&, const shard_outcome&) = default;
};

/// The answer to one search: records of one snapshot, with what it covers.
struct search_answer {
    request_id request;
    searcher_id searcher;
    pinned_snapshot snapshot;
    std::vector<record> records;
    /// Every relevant shard, each covered or missing with a reason; sorted.
    std::vector<shard_outcome> shards;

    /// Whether every relevant shard answered; only then does an absent record mean "no record".
    [[nodiscard]] bool complete() const;
    friend auto operator<=>(const search_answer&, const search_answer&) = default;
};

}  // namespace poplarfront::model
