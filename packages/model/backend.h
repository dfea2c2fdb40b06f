#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "model/search.h"

namespace poplarfront::model {

/// One attempt to execute a query on one shard at one backend server.
struct shard_attempt {
    request_id request;
    /// Unique within the request, over all shards and over restarts of the query with another
    /// snapshot.
    std::uint32_t attempt = 0;
    searcher_id searcher;
    shard_ref shard;
    server_id server;
    pinned_snapshot snapshot;
    std::string query;
    kernel::time_point deadline;
    friend auto operator<=>(const shard_attempt&, const shard_attempt&) = default;
};

enum class attempt_status {
    ok,
    /// Refused before execution because of overload.
    shed,
    /// Refused before execution because the backend server is shutting down.
    draining,
    /// The backend server does not hold the requested index version; `attempt_reply::versions` is
    /// the range that it holds.
    version_unavailable,
    /// The backend server does not hold the shard at the requested map revision.
    wrong_map,
    bad_request,
    /// Nothing was sent: no connection, no slot in time, or a full queue.
    not_sent,
    /// The connection ended after the request may have been sent.
    connection_lost,
    timed_out,
};
[[nodiscard]] std::string_view to_string(attempt_status status);

/// Whether it is certain that the backend server did not execute the request.
[[nodiscard]] bool certainly_not_executed(attempt_status status);

/// The range of index versions that a backend server holds, including both ends.
struct version_range {
    index_version oldest;
    index_version newest;

    [[nodiscard]] bool contains(index_version version) const {
        return oldest <= version && version <= newest;
    }
    friend auto operator<=>(const version_range&, const version_range&) = default;
};

/// The result of one attempt: the reply of the backend server, or the failure that the transport
/// detected.
struct attempt_reply {
    request_id request;
    std::uint32_t attempt = 0;
    searcher_id searcher;
    shard_ref shard;
    server_id server;
    attempt_status status = attempt_status::timed_out;
    /// The index version of the records; only for status ok.
    index_version version;
    std::vector<record> records;
    /// Absent if the reply did not come from the backend server.
    std::optional<version_range> versions;
    /// The load that the backend server reports, from 0 to 1; it may be outdated or wrong.
    double reported_load = 0;
    friend auto operator<=>(const attempt_reply&, const attempt_reply&) = default;
};

}  // namespace poplarfront::model
