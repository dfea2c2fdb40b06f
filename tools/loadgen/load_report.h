#pragma once

#include <map>
#include <string>
#include <vector>

#include "metrics/counter_set.h"
#include "metrics/latency_histogram.h"

namespace poplarfront::loadgen {

/// What one searcher sent and got.
struct searcher_result {
    std::uint64_t sent = 0;
    std::uint64_t answered = 0;
    /// Answered before the deadline.
    std::uint64_t in_time = 0;
    std::uint64_t refused = 0;
    std::uint64_t failed = 0;
    friend auto operator<=>(const searcher_result&, const searcher_result&) = default;
};

/// The result of a run.
struct load_report {
    /// Of answered requests, from the planned time of sending.
    metrics::latency_snapshot latency;
    std::uint64_t sent = 0;
    std::uint64_t answered = 0;
    std::uint64_t complete = 0;
    /// Answered after the deadline.
    std::uint64_t late = 0;
    std::uint64_t covered_shards = 0;
    std::uint64_t missing_shards = 0;
    metrics::counter_snapshot refused_by_type;
    metrics::counter_snapshot errors;
    metrics::counter_snapshot action_statuses;
    std::map<std::string, searcher_result> searchers;
    /// Only what was planned during the surge.
    std::map<std::string, searcher_result> searchers_in_surge;
    /// Requests that the backend servers counted; zero if none were named.
    std::uint64_t backend_queries = 0;
    std::uint64_t broken_promises = 0;
    /// The first ones, in words.
    std::vector<std::string> broken_examples;
    double seconds = 0;

    /// Part of the shards of all answers that was covered; 1 if there were none.
    [[nodiscard]] double coverage() const;
    /// Backend requests beyond one per shard per answered query, as a part of the latter.
    [[nodiscard]] double extra_load() const;
    friend bool operator==(const load_report&, const load_report&) = default;
};

/// Thread-safe.
std::string to_text(const load_report& report);
/// Thread-safe.
std::string to_json(const load_report& report);

}  // namespace poplarfront::loadgen
