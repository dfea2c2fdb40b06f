#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "model/search.h"

namespace poplarfront::model {

/// One try of one shard of a query on one backend server.
struct shard_attempt {
    request_id request;
    /// Unique within the request, over all shards and restarts.
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
    /// Refused before execution, because of load.
    shed,
    /// Refused before execution, because the backend server is leaving.
    draining,
    /// The pinned index version is not held; `versions` says what is.
    version_unavailable,
    /// The shard is not held at the pinned map revision.
    wrong_map,
    bad_request,
    /// Nothing was sent: no connection, no slot in time, or a full queue.
    not_sent,
    /// The connection ended after the request may have been sent.
    connection_lost,
    timed_out,
};
[[nodiscard]] std::string_view to_string(attempt_status status);

/// Whether the backend server certainly did not execute the request.
[[nodiscard]] bool certainly_not_executed(attempt_status status);

/// The index versions a backend server holds, both ends included.
struct version_range {
    index_version oldest;
    index_version newest;

    [[nodiscard]] bool contains(index_version version) const {
        return oldest <= version && version <= newest;
    }
    friend auto operator<=>(const version_range&, const version_range&) = default;
};

/// The reply to one attempt, as the backend server gave it or as the transport saw it fail.
struct attempt_reply {
    request_id request;
    std::uint32_t attempt = 0;
    searcher_id searcher;
    shard_ref shard;
    server_id server;
    attempt_status status = attempt_status::timed_out;
    /// The version the records were read at; only for status ok.
    index_version version;
    std::vector<record> records;
    /// Absent if the reply did not come from the backend server.
    std::optional<version_range> versions;
    /// The load the backend server reports, 0 to 1; it may lag or be false.
    double reported_load = 0;
    friend auto operator<=>(const attempt_reply&, const attempt_reply&) = default;
};

}  // namespace poplarfront::model
