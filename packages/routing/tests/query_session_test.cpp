#include "routing/query_session.h"

#include <catch2/catch.hpp>

#include "fixture.h"

namespace poplarfront::routing {
namespace {

using namespace std::chrono_literals;
using model::missing_reason;

/// Plans groups of two shards. The owners of group n are the instances n and n + 1, modulo 3.
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
    seeded_routing_state state;
    fixed_planner planner;
    session tested{clock,
                   transport,
                   state.context(),
                   planner,
                   {model::request_id::trusted("r"),
                    model::searcher_id::trusted("mill"),
                    {model::service_id::trusted("s")},
                    "query",
                    clock.now() + 500ms}};

    void deliver_result(std::size_t batch_index) {
        tested.on_result(result_of(transport.batches.at(batch_index).second));
    }

    sub_query_result result_with_failed_shard(std::size_t index, missing_reason reason) const {
        auto result = result_of(transport.batches.at(index).second);
        result.shards.at(0) = {result.shards.at(0).shard, reason};
        return result;
    }

    void advance_to_next_timer() {
        clock.set(tested.next_timer());
        tested.on_timer();
    }
};

TEST_CASE_METHOD(session_fixture,
                 "the results of one batch per owner are merged into one sorted answer") {
    planner.groups = 3;
    state.policy.min_shards_for_canary = 100;
    tested.start();
    REQUIRE(transport.batches.size() == 3);
    deliver_result(2);
    deliver_result(0);
    CHECK_FALSE(tested.answer());
    deliver_result(1);
    REQUIRE(tested.answer());
    CHECK(tested.answer()->complete());
    CHECK(tested.answer()->records.size() == 6);
    CHECK(std::is_sorted(tested.answer()->records.begin(), tested.answer()->records.end()));
    CHECK(state.counters.batch_resends == 0);
}

TEST_CASE_METHOD(session_fixture,
                 "results of another request, batch or searcher and duplicates are dropped") {
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
    deliver_result(0);
    deliver_result(0);
    CHECK(state.counters.dropped_replies == 2);
    CHECK_FALSE(tested.answer());
}

TEST_CASE_METHOD(session_fixture, "the batch of a slow owner is resent to the next owner") {
    tested.start();
    deliver_result(1);
    advance_to_next_timer();
    REQUIRE(transport.batches.size() == 3);
    CHECK(transport.batches[2].first == instance(1));
    CHECK(transport.batches[2].second.shards == transport.batches[0].second.shards);
    CHECK(transport.batches[2].second.batch != transport.batches[0].second.batch);
    deliver_result(2);
    REQUIRE(tested.answer());
    CHECK(tested.answer()->complete());
    CHECK(transport.cancelled_batches.at(0).second == transport.batches[0].second);
}

TEST_CASE_METHOD(
    session_fixture,
    "the batch of an unresponsive owner is resent even if hedges have used up the budget") {
    while (state.batch_budget.try_take(clock.now())) {
    }
    tested.start();
    deliver_result(1);
    // The clock starts at 1 s, so this is 400 ms after the start.
    while (transport.batches.size() < 3 && clock.now() < kernel::time_point{1400ms}) {
        advance_to_next_timer();
    }
    REQUIRE(transport.batches.size() == 3);
    deliver_result(2);
    REQUIRE(tested.answer());
    CHECK(tested.answer()->complete());
}

TEST_CASE_METHOD(
    session_fixture,
    "the batch of an overloaded owner that still answers is not resent without budget") {
    while (state.batch_budget.try_take(clock.now())) {
    }
    tested.start();
    deliver_result(1);
    while (!tested.answer()) {
        state.owners.on_answered(instance(0), clock.now());
        advance_to_next_timer();
    }
    CHECK(transport.batches.size() == 2);
    CHECK_FALSE(tested.answer()->complete());
}

TEST_CASE_METHOD(
    session_fixture,
    "the batch of a lost owner is resent; without another owner its shards are missing") {
    tested.start();
    deliver_result(1);
    tested.on_owner_lost(instance(0));
    REQUIRE(transport.batches.size() == 3);
    tested.on_owner_lost(instance(1));
    REQUIRE(tested.answer());
    CHECK(tested.answer()->shards.at(0).reason == missing_reason::owner_lost);
    CHECK(tested.answer()->shards.at(2).reason == missing_reason::none);
}

TEST_CASE_METHOD(session_fixture, "a query whose snapshot is unavailable restarts on another one") {
    const auto reason = GENERATE(missing_reason::version_unavailable, missing_reason::map_changed);
    tested.start();
    deliver_result(1);
    planner.snapshot = {{2}, {8}};
    tested.on_result(result_with_failed_shard(0, reason));
    REQUIRE(transport.batches.size() == 4);
    deliver_result(2);
    deliver_result(3);
    REQUIRE(tested.answer());
    CHECK(tested.answer()->complete());
    CHECK(tested.answer()->snapshot == planner.snapshot);
    CHECK(tested.answer()->records.size() == 4);
}

TEST_CASE_METHOD(session_fixture,
                 "a shard is reported as missing if there is no other snapshot to restart on") {
    tested.start();
    deliver_result(1);
    tested.on_result(result_with_failed_shard(0, missing_reason::map_changed));
    CHECK_FALSE(tested.answer());
    for (int it = 0; it < 100 && !tested.answer(); ++it) {
        advance_to_next_timer();
    }
    REQUIRE(tested.answer());
    CHECK(tested.answer()->shards.at(0).reason == missing_reason::map_changed);
    CHECK(tested.answer()->records.size() == 3);
    CHECK(clock.now() < kernel::manual_clock{}.now() + 50ms);
}

TEST_CASE_METHOD(session_fixture, "a result of another index version is not merged") {
    tested.start();
    auto result = result_of(transport.batches[0].second);
    result.shards.at(0).version = {6};
    tested.on_result(result);
    deliver_result(1);
    clock.advance(500ms);
    tested.on_timer();
    REQUIRE(tested.answer());
    CHECK(tested.answer()->shards.at(0).reason == missing_reason::version_unavailable);
    CHECK(tested.answer()->records.size() == 3);
}

TEST_CASE_METHOD(session_fixture,
                 "an answer at the deadline reports the shards without a result as timed out") {
    tested.start();
    deliver_result(0);
    clock.advance(500ms);
    tested.on_timer();
    REQUIRE(tested.answer());
    CHECK_FALSE(tested.answer()->complete());
    CHECK(tested.answer()->shards.at(2).reason == missing_reason::timed_out);
    CHECK(tested.answer()->shards.size() == 4);
}

TEST_CASE_METHOD(session_fixture, "the deadline of the owners is earlier than that of the caller") {
    tested.start();
    CHECK(transport.batches[0].second.deadline == clock.now() + 495ms);
}

TEST_CASE_METHOD(session_fixture,
                 "a query with many shards sends a canary before the other shards") {
    planner.groups = 4;
    tested.start();
    REQUIRE(transport.batches.size() == 1);
    CHECK(transport.batches[0].second.shards.size() == 1);
    SECTION("after the answer of the canary") {
        deliver_result(0);
    }
    SECTION("after 5 ms without an answer of the canary") {
        clock.advance(5ms);
        tested.on_timer();
    }
    std::size_t shards = 0;
    for (const auto& [owner, batch] : transport.batches) {
        shards += batch.shards.size();
    }
    CHECK(shards == 8);
    CHECK(state.counters.canaries == 1);
}

TEST_CASE_METHOD(session_fixture, "a query known to be good sends no canary") {
    planner.groups = 4;
    state.quarantine.on_successful_reply(
        fingerprint_of(model::searcher_id::trusted("mill"), "query"));
    tested.start();
    CHECK(transport.batches.size() == 3);
}

TEST_CASE_METHOD(session_fixture,
                 "the other shards are not sent if the canaries crash their backend servers") {
    planner.groups = 4;
    tested.start();
    auto result = result_with_failed_shard(0, missing_reason::connection_lost);
    result.shards[0].crashed = {server(0)};
    tested.on_result(result);
    REQUIRE(transport.batches.size() == 2);
    CHECK(transport.batches[1].second.shards.size() == 1);
    result = result_with_failed_shard(1, missing_reason::connection_lost);
    result.shards[0].crashed = {server(1)};
    tested.on_result(result);
    REQUIRE(tested.answer());
    CHECK(tested.answer()->shards.size() == 8);
    CHECK(tested.answer()->shards.at(0).reason == missing_reason::quarantined);
    CHECK(transport.batches.size() == 2);
}

TEST_CASE_METHOD(session_fixture, "a quarantined query is answered at once and nothing is sent") {
    state.quarantine.merge({fingerprint_of(model::searcher_id::trusted("mill"), "query"), {}, true},
                           clock.now());
    tested.start();
    REQUIRE(tested.answer());
    CHECK(tested.answer()->shards.at(0).reason == missing_reason::quarantined);
    CHECK(transport.batches.empty());
}

}  // namespace
}  // namespace poplarfront::routing
