#include "routing/query_session.h"

#include <catch2/catch.hpp>

#include "fixture.h"

namespace poplarfront::routing {
namespace {

using namespace std::chrono_literals;
using model::missing_reason;

/// Two shards per group; group n prefers instance n, then instance n + 1, and so on round 3.
struct fixed_planner {
    model::pinned_snapshot snapshot{{1}, {7}};
    int groups = 2;

    query_plan plan(const model::search_request&) const {
        query_plan plan{snapshot, {}};
        for (int it = 0; it < groups; ++it) {
            plan.groups.push_back(
                {{shard(2 * it), shard(2 * it + 1)}, {instance(it % 3), instance((it + 1) % 3)}});
        }
        return plan;
    }
};

using session = query_session<kernel::manual_clock, recording_transport, fixed_planner>;

struct session_fixture {
    kernel::manual_clock clock;
    recording_transport transport;
    seeded_routing_state shared;
    fixed_planner planner;
    session tested{clock,
                   transport,
                   shared.context(),
                   planner,
                   {model::request_id::trusted("r"),
                    model::searcher_id::trusted("mill"),
                    {model::service_id::trusted("s")},
                    "query",
                    clock.now() + 500ms}};

    void answer(std::size_t index) {
        tested.on_result(result_of(transport.batches.at(index).second));
    }

    sub_query_result failed(std::size_t index, missing_reason reason) const {
        auto result = result_of(transport.batches.at(index).second);
        result.shards.at(0) = {result.shards.at(0).shard, reason};
        return result;
    }

    void wait_for_timer() {
        clock.set(tested.next_timer());
        tested.on_timer();
    }
};

TEST_CASE_METHOD(session_fixture, "one batch per owner is merged into one sorted answer") {
    planner.groups = 3;
    shared.policy.min_shards_for_canary = 100;
    tested.start();
    REQUIRE(transport.batches.size() == 3);
    answer(2);
    answer(0);
    CHECK_FALSE(tested.answer());
    answer(1);
    REQUIRE(tested.answer());
    CHECK(tested.answer()->complete());
    CHECK(tested.answer()->records.size() == 6);
    CHECK(std::is_sorted(tested.answer()->records.begin(), tested.answer()->records.end()));
    CHECK(shared.counters.batch_resends == 0);
}

TEST_CASE_METHOD(session_fixture, "results of others and duplicates are dropped") {
    tested.start();
    auto other = result_of(transport.batches[0].second);
    SECTION("request") {
        other.request = model::request_id::trusted("x");
    }
    SECTION("batch") {
        other.batch += 100;
    }
    SECTION("searcher") {
        other.searcher = model::searcher_id::trusted("x");
    }
    tested.on_result(other);
    answer(0);
    answer(0);
    CHECK(shared.counters.dropped_replies == 2);
    CHECK_FALSE(tested.answer());
}

TEST_CASE_METHOD(session_fixture, "the batch of a slow owner goes to the next one") {
    tested.start();
    answer(1);
    wait_for_timer();
    REQUIRE(transport.batches.size() == 3);
    CHECK(transport.batches[2].first == instance(1));
    CHECK(transport.batches[2].second.shards == transport.batches[0].second.shards);
    CHECK(transport.batches[2].second.batch != transport.batches[0].second.batch);
    answer(2);
    REQUIRE(tested.answer());
    CHECK(tested.answer()->complete());
    CHECK(transport.cancelled_batches.at(0).second == transport.batches[0].second);
}

TEST_CASE_METHOD(session_fixture,
                 "a silent owner is replaced when hedges have used up the budget") {
    while (shared.batch_budget.try_take(clock.now())) {
    }
    tested.start();
    answer(1);
    while (transport.batches.size() < 3 && clock.now() < kernel::time_point{1400ms}) {
        wait_for_timer();
    }
    REQUIRE(transport.batches.size() == 3);
    answer(2);
    REQUIRE(tested.answer());
    CHECK(tested.answer()->complete());
}

TEST_CASE_METHOD(session_fixture, "an overloaded owner, which still answers, needs budget") {
    while (shared.batch_budget.try_take(clock.now())) {
    }
    tested.start();
    answer(1);
    while (!tested.answer()) {
        shared.owners.on_answered(instance(0), clock.now());
        wait_for_timer();
    }
    CHECK(transport.batches.size() == 2);
    CHECK_FALSE(tested.answer()->complete());
}

TEST_CASE_METHOD(session_fixture, "lost owners are replaced, then reported as missing shards") {
    tested.start();
    answer(1);
    tested.on_owner_lost(instance(0));
    REQUIRE(transport.batches.size() == 3);
    tested.on_owner_lost(instance(1));
    REQUIRE(tested.answer());
    CHECK(tested.answer()->shards.at(0).reason == missing_reason::owner_lost);
    CHECK(tested.answer()->shards.at(2).reason == missing_reason::none);
}

TEST_CASE_METHOD(session_fixture, "a pin that cannot be served restarts the whole query") {
    const auto reason = GENERATE(missing_reason::version_unavailable, missing_reason::map_changed);
    tested.start();
    answer(1);
    planner.snapshot = {{2}, {8}};
    tested.on_result(failed(0, reason));
    REQUIRE(transport.batches.size() == 4);
    answer(2);
    answer(3);
    REQUIRE(tested.answer());
    CHECK(tested.answer()->complete());
    CHECK(tested.answer()->snapshot == planner.snapshot);
    CHECK(tested.answer()->records.size() == 4);
}

TEST_CASE_METHOD(session_fixture, "without a newer pin the shard is reported as missing") {
    tested.start();
    answer(1);
    tested.on_result(failed(0, missing_reason::map_changed));
    CHECK_FALSE(tested.answer());
    for (int it = 0; it < 100 && !tested.answer(); ++it) {
        wait_for_timer();
    }
    REQUIRE(tested.answer());
    CHECK(tested.answer()->shards.at(0).reason == missing_reason::map_changed);
    CHECK(tested.answer()->records.size() == 3);
    CHECK(clock.now() < kernel::manual_clock{}.now() + 50ms);
}

TEST_CASE_METHOD(session_fixture, "a result of another version is not merged") {
    tested.start();
    auto result = result_of(transport.batches[0].second);
    result.shards.at(0).version = {6};
    tested.on_result(result);
    answer(1);
    clock.advance(500ms);
    tested.on_timer();
    REQUIRE(tested.answer());
    CHECK(tested.answer()->shards.at(0).reason == missing_reason::version_unavailable);
    CHECK(tested.answer()->records.size() == 3);
}

TEST_CASE_METHOD(session_fixture, "an answer at the deadline names the shards without a reply") {
    tested.start();
    answer(0);
    clock.advance(500ms);
    tested.on_timer();
    REQUIRE(tested.answer());
    CHECK_FALSE(tested.answer()->complete());
    CHECK(tested.answer()->shards.at(2).reason == missing_reason::timed_out);
    CHECK(tested.answer()->shards.size() == 4);
}

TEST_CASE_METHOD(session_fixture, "owners end before the caller's deadline") {
    tested.start();
    CHECK(transport.batches[0].second.deadline == clock.now() + 495ms);
}

TEST_CASE_METHOD(session_fixture, "a wide query sends one shard first and then the rest") {
    planner.groups = 4;
    tested.start();
    REQUIRE(transport.batches.size() == 1);
    CHECK(transport.batches[0].second.shards.size() == 1);
    SECTION("after its answer") {
        answer(0);
    }
    SECTION("after 5 ms without one") {
        clock.advance(5ms);
        tested.on_timer();
    }
    std::size_t shards = 0;
    for (const auto& [owner, batch] : transport.batches) {
        shards += batch.shards.size();
    }
    CHECK(shards == 8);
    CHECK(shared.counters.canaries == 1);
}

TEST_CASE_METHOD(session_fixture, "a query known to be good has no canary") {
    planner.groups = 4;
    shared.quarantine.on_complete_reply(
        fingerprint_of(model::searcher_id::trusted("mill"), "query"));
    tested.start();
    CHECK(transport.batches.size() == 3);
}

TEST_CASE_METHOD(session_fixture, "a crash of the canary holds back the rest") {
    planner.groups = 4;
    tested.start();
    auto result = failed(0, missing_reason::connection_lost);
    result.shards[0].crashed = {server(0)};
    tested.on_result(result);
    REQUIRE(transport.batches.size() == 2);
    CHECK(transport.batches[1].second.shards.size() == 1);
    result = failed(1, missing_reason::connection_lost);
    result.shards[0].crashed = {server(1)};
    tested.on_result(result);
    REQUIRE(tested.answer());
    CHECK(tested.answer()->shards.size() == 8);
    CHECK(tested.answer()->shards.at(0).reason == missing_reason::quarantined);
    CHECK(transport.batches.size() == 2);
}

TEST_CASE_METHOD(session_fixture, "a quarantined query is answered with nothing sent") {
    shared.quarantine.merge(
        {fingerprint_of(model::searcher_id::trusted("mill"), "query"), {}, true}, clock.now());
    tested.start();
    REQUIRE(tested.answer());
    CHECK(tested.answer()->shards.at(0).reason == missing_reason::quarantined);
    CHECK(transport.batches.empty());
}

}  // namespace
}  // namespace poplarfront::routing
