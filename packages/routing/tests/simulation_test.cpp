#include "simulation.h"

#include <catch2/catch.hpp>
#include <cstdlib>

namespace poplarfront::routing {
namespace {

std::uint64_t from_environment(const char* name, std::uint64_t fallback) {
    const char* text = std::getenv(name);
    return text == nullptr ? fallback : std::stoull(text);
}

/// The invariants that are violated in runs with the seeds 1 to 3.
std::set<std::string> violations_in_three_runs(simulation_options options) {
    std::set<std::string> found;
    for (options.seed = 1; options.seed <= 3; ++options.seed) {
        found.merge(simulation(options).run().violations);
    }
    return found;
}

TEST_CASE("no invariant is violated under random faults") {
    const auto first = from_environment("POPLARFRONT_SEED", 1);
    const auto runs = from_environment("POPLARFRONT_RUNS", 25);
    std::uint64_t shards = 0;
    std::uint64_t covered = 0;
    routing_counters counters;
    std::size_t queries = 0;
    std::uint64_t primaries = 0;
    std::uint64_t extra = 0;
    std::size_t most_crashes = 0;
    for (auto seed = first; seed < first + runs; ++seed) {
        const auto report = simulation({.seed = seed}).run();
        INFO("replay: POPLARFRONT_SEED=" << seed << " POPLARFRONT_RUNS=1 routing_tests");
        CHECK(report.violations == std::set<std::string>{});
        shards += report.shards;
        covered += report.covered;
        primaries += report.primaries;
        extra += report.extra;
        queries += report.latencies.size();
        most_crashes = std::max(most_crashes, report.crashes);
        counters.dropped_replies += report.counters.dropped_replies;
        counters.restarts += report.counters.restarts;
        counters.batch_resends += report.counters.batch_resends;
    }
    CHECK(extra * 10 <= primaries);
    // Without these events the checks above would hold trivially.
    CHECK(counters.dropped_replies > 0);
    CHECK(counters.restarts > 0);
    CHECK(counters.batch_resends > 0);
    if (std::getenv("POPLARFRONT_RUNS") != nullptr) {
        WARN("queries " << queries << ", shards " << shards << ", covered " << covered
                        << ", most crashes in one run " << most_crashes << ", restarts "
                        << counters.restarts << ", resends " << counters.batch_resends
                        << ", extra attempts " << extra << " of " << primaries);
    }
}

double p99_ms(std::vector<kernel::duration> latencies) {
    std::sort(latencies.begin(), latencies.end());
    const auto p99 = latencies.at(latencies.size() * 99 / 100);
    return std::chrono::duration<double, std::milli>(p99).count();
}

TEST_CASE(
    "with a straggler p99 rises by at most half, shards stay covered, extra load is at most 5%") {
    const auto steady = simulation({.seed = 1, .faults = false}).run();
    const auto slow = simulation({.seed = 1, .faults = false, .straggler = true}).run();
    const double steady_p99 = p99_ms(steady.latencies);
    const double slow_p99 = p99_ms(slow.latencies);
    if (std::getenv("POPLARFRONT_RUNS") != nullptr) {
        WARN("p99 without a straggler "
             << steady_p99 << " ms, with a straggler " << slow_p99 << " ms; extra attempts "
             << steady.extra << " of " << steady.primaries << ", " << slow.extra << " of "
             << slow.primaries << "; restarts " << steady.counters.restarts << ", "
             << slow.counters.restarts << " of " << steady.latencies.size() << " queries");
    }
    CHECK(slow_p99 <= 1.5 * steady_p99);
    for (const auto& report : {steady, slow}) {
        CHECK(report.violations == std::set<std::string>{});
        CHECK(report.covered == report.shards);
        CHECK(report.extra * 20 <= report.primaries);
    }
}

TEST_CASE("the simulation detects a disabled check and an oversized budget") {
    simulation_options options;
    std::string expected;
    SECTION("request identity") {
        options.policy.match_identity = false;
        expected = "an answer contains only results of its own request";
    }
    SECTION("index version") {
        options.policy.match_version = false;
        expected = "an answer does not mix index versions";
    }
    SECTION("missing shards") {
        options.policy.report_missing = false;
        expected = "an answer lists every relevant shard";
    }
    SECTION("drain notices") {
        options.policy.avoid_draining = false;
        expected = "no new attempts later than 2 s after a drain notice";
    }
    SECTION("quarantine") {
        options.policy.use_quarantine = false;
        expected = "a crashing query causes at most 4 crashes";
    }
    SECTION("attempt budget") {
        options.attempt_budget = {.fault_ratio = 10, .burst = 1000};
        expected = "extra attempts are within the budget";
    }
    SECTION("batch budget") {
        options.batch_budget = {.fault_ratio = 10, .burst = 1000};
        expected = "resent batches are within the budget";
    }
    INFO(expected);
    CHECK(violations_in_three_runs(options).contains(expected));
}

}  // namespace
}  // namespace poplarfront::routing
