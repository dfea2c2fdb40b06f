#include "simulation.h"

#include <catch2/catch.hpp>
#include <cstdlib>

namespace poplarfront::routing {
namespace {

std::uint64_t from_environment(const char* name, std::uint64_t fallback) {
    const char* text = std::getenv(name);
    return text == nullptr ? fallback : std::stoull(text);
}

/// The promises broken in a few runs with one mechanism switched off.
std::set<std::string> violations_of(simulation_options options) {
    std::set<std::string> found;
    for (options.seed = 1; options.seed <= 3; ++options.seed) {
        found.merge(simulation(options).run().violations);
    }
    return found;
}

TEST_CASE("no promise is broken under random faults") {
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
    // Faults that do not occur would prove nothing.
    CHECK(counters.dropped_replies > 0);
    CHECK(counters.restarts > 0);
    CHECK(counters.batch_resends > 0);
    if (std::getenv("POPLARFRONT_RUNS") != nullptr) {
        WARN("queries " << queries << ", shards " << shards << ", covered " << covered
                        << ", most crashes per killer query " << most_crashes << ", restarts "
                        << counters.restarts << ", resends " << counters.batch_resends << ", extra "
                        << extra << " of " << primaries);
    }
}

double p99_ms(std::vector<kernel::duration> latencies) {
    std::sort(latencies.begin(), latencies.end());
    const auto p99 = latencies.at(latencies.size() * 99 / 100);
    return std::chrono::duration<double, std::milli>(p99).count();
}

TEST_CASE("a straggler neither reduces coverage nor raises extra load above 5%") {
    const auto steady = simulation({.seed = 1, .faults = false}).run();
    const auto slow = simulation({.seed = 1, .faults = false, .straggler = true}).run();
    const double steady_p99 = p99_ms(steady.latencies);
    const double slow_p99 = p99_ms(slow.latencies);
    if (std::getenv("POPLARFRONT_RUNS") != nullptr) {
        WARN("p99 steady " << steady_p99 << " ms, with a straggler " << slow_p99 << " ms; extra "
                           << steady.extra << " of " << steady.primaries << ", " << slow.extra
                           << " of " << slow.primaries << "; restarts " << steady.counters.restarts
                           << ", " << slow.counters.restarts << " of " << steady.latencies.size()
                           << " queries");
    }
    CHECK(slow_p99 <= 1.5 * steady_p99);
    for (const auto& report : {steady, slow}) {
        CHECK(report.violations == std::set<std::string>{});
        CHECK(report.covered == report.shards);
        CHECK(report.extra * 20 <= report.primaries);
    }
}

TEST_CASE("the simulation detects each missing mechanism") {
    simulation_options options;
    std::string broken;
    SECTION("identity") {
        options.policy.match_identity = false;
        broken = "only the own answer";
    }
    SECTION("version") {
        options.policy.match_version = false;
        broken = "never a mix of versions";
    }
    SECTION("coverage") {
        options.policy.report_missing = false;
        broken = "coverage is stated truthfully";
    }
    SECTION("draining") {
        options.policy.avoid_draining = false;
        broken = "no new work 2 s after a drain notice";
    }
    SECTION("quarantine") {
        options.policy.use_quarantine = false;
        broken = "a killer query crashes few backend servers";
    }
    SECTION("budget of attempts") {
        options.attempt_budget = {.fault_ratio = 10, .burst = 1000};
        broken = "extra attempts are within the budget";
    }
    SECTION("budget of batches") {
        options.batch_budget = {.fault_ratio = 10, .burst = 1000};
        broken = "resent batches are within the budget";
    }
    INFO(broken);
    CHECK(violations_of(options).contains(broken));
}

}  // namespace
}  // namespace poplarfront::routing
