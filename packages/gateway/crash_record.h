#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "gateway/backend_entry.h"

namespace poplarfront::gateway {

/// Identifies requests that cause the same work at a backend server; see client_request.
using request_fingerprint = std::uint64_t;

/// A process of a backend server whose connection was lost while it may have been executing a
/// request. Immutable.
struct crash_record {
    request_fingerprint fingerprint = 0;
    model::service_id service;
    /// Id and start time of the backend server, since it may restart under the same id.
    std::string process;
    friend auto operator<=>(const crash_record&, const crash_record&) = default;
};

/// Identifies the process of a backend server. Thread-safe.
[[nodiscard]] inline std::string process_of(const backend_entry& backend) {
    return backend.id.text() + "@" + std::to_string(backend.started_ms);
}

/// The record of a connection to `backend` that was lost during a request. Thread-safe.
[[nodiscard]] inline crash_record crash_record_of(request_fingerprint fingerprint,
                                                  const backend_entry& backend) {
    return {fingerprint, backend.service, process_of(backend)};
}

/// A trial of a quarantined request: one attempt that shows whether the request still crashes
/// backend servers. Trials of a request are numbered from 1. Immutable.
struct crash_trial {
    request_fingerprint fingerprint = 0;
    std::uint32_t number = 1;
    friend auto operator<=>(const crash_trial&, const crash_trial&) = default;
};

/// What all instances know about one request.
struct suspected_request {
    std::set<crash_record> crashes;
    /// The numbers of the trials so far.
    std::set<std::uint32_t> trials;
    /// Store revision of the last change.
    std::uint64_t revision = 0;
    friend auto operator<=>(const suspected_request&, const suspected_request&) = default;
};

/// The requests that may have crashed backend servers, as recorded in the store by all instances.
/// Immutable once published.
struct crash_table {
    std::map<request_fingerprint, suspected_request> requests;
    friend auto operator<=>(const crash_table&, const crash_table&) = default;
};

/// Changes that an instance makes to the common records.
struct crash_table_change {
    std::set<crash_record> added;
    std::set<crash_record> removed;
    std::set<crash_trial> removed_trials;
    friend auto operator<=>(const crash_table_change&, const crash_table_change&) = default;
};

}  // namespace poplarfront::gateway
