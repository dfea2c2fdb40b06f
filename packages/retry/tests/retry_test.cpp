#include <catch2/catch.hpp>

#include "kernel/clock_and_random_sources.h"
#include "retry/backoff.h"
#include "retry/hedge_policy.h"
#include "retry/retry_budget.h"

namespace poplarfront::retry {
namespace {

using namespace std::chrono_literals;

int extra_per_1000_primaries(retry_budget& budget, kernel::time_point now) {
    int taken = 0;
    for (int count = 0; count < 1000; ++count) {
        budget.on_primary(now);
        taken += budget.try_take(now) ? 1 : 0;
    }
    return taken;
}

TEST_CASE("extra requests are limited to 5% of primaries, and to 10% while attempts fail") {
    const kernel::time_point now{1s};
    retry_budget steady({.burst = 1});
    CHECK(extra_per_1000_primaries(steady, now) <= 51);
    CHECK(extra_per_1000_primaries(steady, now) >= 49);
    retry_budget failing({.burst = 1});
    failing.on_failure(now);
    CHECK(extra_per_1000_primaries(failing, now) <= 101);
    CHECK(extra_per_1000_primaries(failing, now) >= 99);
    CHECK(extra_per_1000_primaries(failing, now + 6s) <= 51);
}

TEST_CASE("a budget with a ratio of 1 allows an extra request for each primary") {
    retry_budget one_per_primary({.steady_ratio = 1});
    CHECK(extra_per_1000_primaries(one_per_primary, kernel::time_point{1s}) == 1000);
}

TEST_CASE("an instance with little traffic can retry one query per idle refill interval") {
    retry_budget budget({.burst = 1});
    kernel::time_point now{1s};
    for (int count = 0; count < 3; ++count) {
        budget.on_primary(now);
        CHECK(budget.try_take(now));
        CHECK_FALSE(budget.try_take(now));
        now += 10s;
    }
}

TEST_CASE("the hedge delay follows the 95th percentile and stays within its bounds") {
    const auto service = model::service_id::trusted("s");
    hedge_policy policy;
    CHECK(policy.delay(service) == 20ms);
    for (int count = 0; count < 100; ++count) {
        policy.observe(service, count < 96 ? 5ms : 400ms);
    }
    CHECK(policy.delay(service) >= 5ms);
    CHECK(policy.delay(service) <= 6ms);
    for (int count = 0; count < 1000; ++count) {
        policy.observe(service, 400ms);
    }
    CHECK(policy.delay(service) == 50ms);
    hedge_policy fast;
    for (int count = 0; count < 100; ++count) {
        fast.observe(service, 10us);
    }
    CHECK(fast.delay(service) == 1ms);
}

TEST_CASE("backoff delays grow to the maximum, are random, and do not overflow") {
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

TEST_CASE("tokens are refilled at a constant rate without traffic") {
    retry_budget_options options;
    options.burst = 1.2;
    options.initial_fraction = 0;
    options.refill_per_second = 0.1;
    options.idle_refill = std::chrono::hours{1};
    retry_budget budget{options};
    kernel::time_point now{std::chrono::seconds{100}};
    int taken = 0;
    budget.refill(now);
    for (int count = 0; count < 1000; ++count) {
        now += std::chrono::milliseconds{100};
        budget.refill(now);
        taken += budget.try_take(now) ? 1 : 0;
    }
    CHECK(taken >= 9);
    CHECK(taken <= 11);
}

}  // namespace
}  // namespace poplarfront::retry
