#include <catch2/catch.hpp>

#include "bench/run_types.h"

namespace poplarfront::bench {
namespace {

constexpr double seconds = 0.5;

TEST_CASE("equal seeds give equal results") {
    // Guards against state that is shared between runs, and against unordered iteration.
    const run_options options{workloads().front(), scenario::lost_replica,
                              membership::owner_mode::direct, 7, seconds};
    CHECK(run_deployed(options) == run_deployed(options));
    CHECK(run_baseline(options) == run_baseline(options));
}

TEST_CASE("policies are compared on equal arrivals") {
    // Guards against a policy that influences the arrivals and so compares different loads.
    const run_options options{workloads().back(), scenario::surge, membership::owner_mode::direct,
                              7, seconds};
    const auto deployed = run_deployed(options);
    CHECK(deployed.queries > 0);
    CHECK(deployed.queries == run_baseline(options).queries);
}

TEST_CASE("no promise is broken in any scenario") {
    // Guards against decision code that breaks a promise, and against fakes that cause it.
    const auto check = [](const run_options& options) {
        INFO(options.work.name << ", " << to_string(options.which));
        const auto result = run_deployed(options);
        CHECK(result.broken == std::set<std::string>{});
        CHECK(result.complete > 0);
    };
    for (const auto which : all_scenarios) {
        check({workloads().front(), which, membership::owner_mode::direct, 3, seconds});
        check({workloads().back(), which, membership::owner_mode::direct, 3, seconds});
    }
    for (const auto which : {scenario::steady, scenario::replacement}) {
        check({workloads().front(), which, membership::owner_mode::owned, 3, seconds});
    }
}

}  // namespace
}  // namespace poplarfront::bench
