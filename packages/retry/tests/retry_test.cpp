#include <catch2/catch.hpp>

#include "kernel/clock_and_random_sources.h"
#include "retry/backoff.h"
#include "retry/hedge_policy.h"
#include "retry/retry_budget.h"

namespace poplarfront::retry {
namespace {

using namespace std::chrono_literals;

int taken_per_1000_primaries(retry_budget& budget, kernel::time_point now) {
    int taken = 0;
    for (int it = 0; it < 1000; ++it) {
        budget.on_primary(now);
        taken += budget.try_take(now) ? 1 : 0;
    }
    return taken;
}

TEST_CASE("a retry storm is bounded at 5% of primaries, and at 10% while attempts fail") {
    const kernel::time_point now{1s};
    retry_budget steady({.burst = 1});
    CHECK(taken_per_1000_primaries(steady, now) <= 51);
    CHECK(taken_per_1000_primaries(steady, now) >= 49);
    retry_budget failing({.burst = 1});
    failing.on_failure(now);
    CHECK(taken_per_1000_primaries(failing, now) <= 101);
    CHECK(taken_per_1000_primaries(failing, now) >= 99);
    CHECK(taken_per_1000_primaries(failing, now + 6s) <= 51);
}

TEST_CASE("a budget without limit lets a retry storm through") {
    retry_budget unlimited({.steady_ratio = 1});
    CHECK(taken_per_1000_primaries(unlimited, kernel::time_point{1s}) == 1000);
}

TEST_CASE("the query of a quiet instance can be retried once") {
    retry_budget budget({.burst = 1});
    kernel::time_point now{1s};
    for (int it = 0; it < 3; ++it) {
        budget.on_primary(now);
        CHECK(budget.try_take(now));
        CHECK_FALSE(budget.try_take(now));
        now += 10s;
    }
}

TEST_CASE("the hedge delay follows p95 and stays within its bounds") {
    const auto service = model::service_id::trusted("s");
    hedge_policy policy;
    CHECK(policy.delay(service) == 20ms);
    for (int it = 0; it < 100; ++it) {
        policy.observe(service, it < 96 ? 5ms : 400ms);
    }
    CHECK(policy.delay(service) >= 5ms);
    CHECK(policy.delay(service) <= 6ms);
    for (int it = 0; it < 1000; ++it) {
        policy.observe(service, 400ms);
    }
    CHECK(policy.delay(service) == 50ms);
    hedge_policy fast;
    for (int it = 0; it < 100; ++it) {
        fast.observe(service, 10us);
    }
    CHECK(fast.delay(service) == 1ms);
}

TEST_CASE("backoff grows to its limit, differs between callers and does not overflow") {
    kernel::seeded_random_source random(1);
    const backoff policy{2ms, 50ms};
    for (const std::uint32_t step : {0U, 1U, 4U, 5U, 40U, 4'000'000'000U}) {
        const auto delay = policy.delay(step, random);
        CHECK(delay >= 1ms);
        CHECK(delay <= 50ms);
    }
    CHECK(policy.delay(0, random) <= 2ms);
    CHECK(policy.delay(40, random) >= 25ms);
    CHECK(policy.delay(40, random) != policy.delay(40, random));
}

TEST_CASE("tokens return with time, so that a quiet instance can hedge within its share") {
    retry_budget_options options;
    options.burst = 1.2;
    options.initial_fraction = 0;
    options.refill_per_second = 0.1;
    options.idle_refill = std::chrono::hours{1};
    retry_budget budget{options};
    kernel::time_point now{std::chrono::seconds{100}};
    int taken = 0;
    budget.refill(now);
    for (int it = 0; it < 1000; ++it) {
        now += std::chrono::milliseconds{100};
        budget.refill(now);
        taken += budget.try_take(now) ? 1 : 0;
    }
    CHECK(taken >= 9);
    CHECK(taken <= 11);
}

}  // namespace
}  // namespace poplarfront::retry
