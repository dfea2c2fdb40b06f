#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "model/backend.h"

namespace poplarfront::standins {

/// Which shards the stand-in holds from one shard map revision on, and how services are cut.
struct shard_layout {
    model::revision from;
    std::set<model::shard_ref> held;
    /// All shards of each service; a key belongs to one of them.
    std::map<model::service_id, std::vector<model::shard_id>> cut;
    friend bool operator==(const shard_layout&, const shard_layout&) = default;
};

enum class load_report { exact, lagging, fixed };

/// Everything of the stand-in that can be changed while it runs. Immutable; a change makes a new
/// value.
struct backend_behaviour {
    std::uint32_t slots = 2;
    /// Requests that wait for a slot; more are shed.
    std::uint32_t queue = 8;
    /// Median and spread of the log-normal execution time.
    std::chrono::microseconds latency{1000};
    double latency_sigma = 0.3;
    /// Multiplies execution times.
    double straggle_factor = 1.0;
    /// While cold, execution times fall from `cold_factor` times the usual ones to the usual ones.
    std::chrono::milliseconds cold_start{0};
    double cold_factor = 10.0;
    bool draining = false;
    model::version_range versions{{1}, {1}};
    /// A query with this text crashes the stand-in; empty for none.
    std::string crash_text;
    load_report report = load_report::exact;
    /// Age up to which a lagging report is repeated.
    std::chrono::milliseconds report_lag{1000};
    /// The load that a fixed report states.
    double fixed_load = 0.0;
    /// Sorted by revision; never empty.
    std::vector<shard_layout> layouts;

    /// The layout that applies at a map revision; null if it is older than all.
    [[nodiscard]] const shard_layout* layout_at(model::revision revision) const;
    friend bool operator==(const backend_behaviour&, const backend_behaviour&) = default;
};

/// What the stand-in has done since its start.
struct backend_counters {
    /// When counting began, on the monotonic clock; another value means that counts were lost.
    std::chrono::microseconds since{0};
    std::uint64_t queries = 0;
    /// Queries that got a slot and ran.
    std::uint64_t queries_executed = 0;
    std::uint64_t actions = 0;
    std::uint64_t cancels = 0;
    /// Attempts that ended early because of a cancel.
    std::uint64_t cancelled = 0;
    std::uint64_t crashes = 0;
    std::map<model::attempt_status, std::uint64_t> replies;
    std::map<model::searcher_id, std::uint64_t> executed_by_searcher;
    /// Executions by request key: a value above 1 breaks "at most once".
    std::map<std::string, std::uint64_t> actions_executed;
    friend bool operator==(const backend_counters&, const backend_counters&) = default;
};

/// A layout from names of the form service:shard. `all` lists the shards of the services and
/// defaults to `held`.
/// Errors: model_error.
kernel::result<shard_layout> make_layout(model::revision from, const std::vector<std::string>& held,
                                         const std::vector<std::string>& all);

}  // namespace poplarfront::standins
