#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "bench/deployment.h"
#include "membership/ownership_table.h"

namespace poplarfront::bench {

enum class scenario {
    steady,
    straggler,
    lost_replica,
    surge,
    replacement,
    store_outage,
    repartition
};

inline constexpr std::array all_scenarios{
    scenario::steady,      scenario::straggler,    scenario::lost_replica, scenario::surge,
    scenario::replacement, scenario::store_outage, scenario::repartition};

[[nodiscard]] std::string_view to_string(scenario which);

inline constexpr int searcher_count = 4;
/// Part of the capacity that is guaranteed to all searchers together.
inline constexpr double guaranteed_part = 0.8;
/// Part of the capacity that is offered outside a surge.
inline constexpr double steady_load = 0.3;
inline constexpr double surge_factor = 5;

struct run_options {
    workload work;
    scenario which = scenario::steady;
    membership::owner_mode mode = membership::owner_mode::direct;
    std::uint64_t seed = 1;
    /// Measured time; a warm-up precedes it.
    double seconds = 20;
    friend auto operator<=>(const run_options&, const run_options&) = default;
};

/// What one run gave. Latencies are those of the caller, in milliseconds.
struct run_result {
    double p50_ms = 0;
    double p99_ms = 0;
    double p999_ms = 0;
    std::uint64_t queries = 0;
    std::uint64_t refused = 0;
    std::uint64_t complete = 0;
    std::uint64_t shards = 0;
    std::uint64_t covered = 0;
    std::uint64_t attempts = 0;
    /// Requests to backend servers beyond one per shard and query.
    std::uint64_t extra = 0;
    /// Complete answers a second during the middle of the run, where the surge is.
    double goodput_per_s = 0;
    /// Lowest part of min(offered, guaranteed) that a searcher got there.
    double lowest_share = 0;
    /// Missing shards by reason.
    std::map<std::string, std::uint64_t> missing;
    /// Refused requests by searcher and reason.
    std::map<std::string, std::uint64_t> refusals;
    /// Promises that were broken.
    std::set<std::string> broken;

    [[nodiscard]] double coverage() const {
        return shards == 0 ? 0 : static_cast<double>(covered) / static_cast<double>(shards);
    }
    [[nodiscard]] double extra_percent() const {
        constexpr double percent = 100;
        const auto primaries = attempts - extra;
        return primaries == 0
                   ? 0
                   : percent * static_cast<double>(extra) / static_cast<double>(primaries);
    }
    friend bool operator==(const run_result&, const run_result&) = default;
};

/// Runs the decision code as it is deployed.
[[nodiscard]] run_result run_deployed(const run_options& options);
/// Runs the comparison policy with the same arrivals.
[[nodiscard]] run_result run_baseline(const run_options& options);

}  // namespace poplarfront::bench
