#include <catch2/catch.hpp>
#include <csignal>
#include <thread>
#include <vector>

#include "daemon/tests/test_tier.h"

namespace poplarfront::daemon {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Longer than the detection of a failure, which takes 500 ms and then 3 s of suspicion.
constexpr auto failure_limit = seconds{15};

void slow_down(test_tier& tier, milliseconds execution) {
    tier.backend().change([&](standins::backend_behaviour& it) {
        it.latency = execution;
        it.latency_sigma = 0.0;
    });
}

TEST_CASE("an action runs once, and repeats through any instance get the recorded reply") {
    test_tier tier;
    for (std::size_t home = 0; home < instance_count; ++home) {
        const test_action action{tier.key_with_home(home)};
        CHECK(tier.send(0, action) == test_answer{"executed", "done:" + action.key, "", "acme"});
        for (std::size_t i = 0; i < instance_count; ++i) {
            CHECK(tier.send(i, action) ==
                  test_answer{"already_executed", "done:" + action.key, "", "acme"});
        }
        CHECK(tier.executions(action.key) == 1);
    }

    // A searcher that uses the key of another one gets neither its reply nor its refusal.
    const auto key = tier.key_with_home(1);
    CHECK(tier.send(0, {key, "acme"}).status == "executed");
    CHECK(tier.send(0, {key, "rival"}) == test_answer{"executed", "done:" + key, "", "rival"});
    CHECK(tier.executions(key) == 2);

    // Repeats under way at once through all instances.
    slow_down(tier, milliseconds{100});
    const test_action repeated{tier.key_with_home(2)};
    std::vector<std::future<test_answer>> answers;
    for (std::size_t i = 0; i < instance_count * 4; ++i) {
        answers.push_back(tier.send_later(i % instance_count, repeated));
    }
    int executed = 0;
    for (auto& answer : answers) {
        executed += answer.get().status == "executed" ? 1 : 0;
    }
    CHECK(executed == 1);
    CHECK(tier.executions(repeated.key) == 1);

    // Malformed keys never run.
    CHECK(tier.send(0, {"no-key"}).status == "not_run");
    CHECK(tier.send(0, {"1000-expired"}).reason == "request_key_expired");
}

TEST_CASE("an outage of the store refuses actions, and a lost write reply does not repeat them") {
    test_tier tier;
    for (std::size_t home = 0; home < instance_count; ++home) {
        const test_action action{tier.key_with_home(home)};
        tier.store_fault(R"({"outage":true})");
        CHECK(tier.send(0, action).status == "not_run");
        CHECK(tier.executions(action.key) == 0);
        tier.store_fault(R"({"outage":false})");
        CHECK(tier.send(0, action).status == "executed");
        CHECK(tier.executions(action.key) == 1);

        // The first reply is that to the claim, the second that to its end.
        for (const int lost : {1, 2}) {
            const test_action next{tier.key_with_home(home)};
            tier.store_fault(R"({"lose_write_replies":)" + std::to_string(lost) + "}");
            CHECK(tier.send(0, next).status == "executed");
            CHECK(tier.send(1, next).status == "already_executed");
            CHECK(tier.executions(next.key) == 1);
        }
    }
}

TEST_CASE("an action whose home is killed while it executes never runs again") {
    test_tier tier;
    slow_down(tier, milliseconds{500});
    const test_action action{tier.key_with_home(2)};
    auto first = tier.send_later(0, action);
    REQUIRE(eventually(seconds{2}, [&] { return tier.executions(action.key) == 1; }));
    tier.process(2).signal(SIGKILL);
    CHECK(first.get().status == "unknown");
    CHECK(tier.send(1, {action.key, "acme", milliseconds{300}}).status == "unknown");

    REQUIRE(eventually(failure_limit, [&] {
        return tier.status_at(0, 2) == "failed" && tier.status_at(1, 2) == "failed";
    }));
    for (const std::size_t entry : {0, 1}) {
        const auto repeat = tier.send(entry, action);
        CHECK(repeat.status == "unknown");
        CHECK(repeat.reason == "claimed_by_another_request");
    }
    CHECK(tier.executions(action.key) == 1);
    // Other actions of that home go on elsewhere.
    CHECK(tier.send(0, {tier.key_with_home(2)}).status == "executed");
}

TEST_CASE("a home that is frozen past the deadline runs nothing a second time when it thaws") {
    test_tier tier;
    slow_down(tier, milliseconds{800});
    const milliseconds deadline{1000};
    const test_action executing{tier.key_with_home(2), "acme", deadline};
    auto first = tier.send_later(0, executing);
    REQUIRE(eventually(seconds{2}, [&] { return tier.executions(executing.key) == 1; }));
    tier.process(2).signal(SIGSTOP);
    const test_action forwarded{tier.key_with_home(2), "acme", deadline};
    auto second = tier.send_later(1, forwarded);
    CHECK(first.get().status == "unknown");
    CHECK(second.get().status == "unknown");

    REQUIRE(eventually(failure_limit, [&] {
        return tier.status_at(0, 2) == "failed" && tier.status_at(1, 2) == "failed";
    }));
    CHECK(tier.send(1, executing).status == "unknown");
    CHECK(tier.send(0, {forwarded.key, "acme"}) ==
          test_answer{"executed", "done:" + forwarded.key, "", "acme"});
    tier.process(2).signal(SIGCONT);
    REQUIRE(eventually(seconds{10}, [&] { return tier.status_at(0, 2) == "alive"; }));
    // Longer than the deadline of what was forwarded to the frozen home.
    std::this_thread::sleep_for(seconds{1});
    CHECK(tier.executions(executing.key) == 1);
    CHECK(tier.executions(forwarded.key) == 1);
    CHECK(tier.send(2, {forwarded.key, "acme"}).status == "already_executed");
    CHECK(tier.executions(forwarded.key) == 1);
}

TEST_CASE("a stop of the home ends actions in flight first, and later ones run elsewhere") {
    test_tier tier;
    slow_down(tier, milliseconds{500});
    const test_action forwarded{tier.key_with_home(2)};
    const test_action direct{tier.key_with_home(2)};
    auto first = tier.send_later(0, forwarded);
    auto second = tier.send_later(2, direct);
    REQUIRE(eventually(seconds{2}, [&] {
        return tier.executions(forwarded.key) == 1 && tier.executions(direct.key) == 1;
    }));
    tier.process(2).signal(SIGTERM);
    const test_action later{tier.key_with_home(2)};
    CHECK(tier.send(0, later).status == "executed");
    CHECK(first.get().status == "executed");
    CHECK(second.get().status == "executed");
    CHECK(tier.process(2).wait(seconds{10}) == 0);
    for (const auto& action : {forwarded, direct, later}) {
        CHECK(tier.send(1, action).status == "already_executed");
        CHECK(tier.executions(action.key) == 1);
    }
}

}  // namespace
}  // namespace poplarfront::daemon
