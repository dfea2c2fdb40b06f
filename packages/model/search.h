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

/// The snapshot that a query reads: every shard answers at this index version, and the shards are
/// those of this map revision.
struct pinned_snapshot {
    revision map_revision;
    index_version version;
    friend auto operator<=>(const pinned_snapshot&, const pinned_snapshot&) = default;
};

/// A search request of a caller.
struct search_request {
    request_id request;
    searcher_id searcher;
    /// The services to search, each with all its shards; never empty.
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
    /// The shard answered.
    none,
    /// No backend server that holds the shard could be used.
    no_replica,
    /// There was no answer before the deadline.
    timed_out,
    /// The backend server refused because of overload or because it is shutting down.
    shed,
    /// There was no answer at the requested index version.
    version_unavailable,
    /// The backend server does not hold the shard at the requested map revision.
    map_changed,
    /// The connection to the backend server ended during the attempt.
    connection_lost,
    /// The query is quarantined, because it is suspected of crashing backend servers.
    quarantined,
    /// The owner instance of the shard returned no result.
    owner_lost,
    /// The backend server rejected the request as invalid, or no request could be sent.
    refused,
};
[[nodiscard]] std::string_view to_string(missing_reason reason);

/// The outcome of one shard within one query: covered if `reason` is none.
struct shard_outcome {
    shard_ref shard;
    missing_reason reason = missing_reason::none;
    friend auto operator<=>(const shard_outcome&, const shard_outcome&) = default;
};

/// The answer to one search: records of one snapshot, and which shards they cover.
struct search_answer {
    request_id request;
    searcher_id searcher;
    pinned_snapshot snapshot;
    std::vector<record> records;
    /// All shards of the searched services, each covered or missing with a reason; sorted.
    std::vector<shard_outcome> shards;

    /// Whether all shards of the searched services answered. If not, a record that is missing from
    /// the answer may exist.
    [[nodiscard]] bool complete() const;
    friend auto operator<=>(const search_answer&, const search_answer&) = default;
};

}  // namespace poplarfront::model
