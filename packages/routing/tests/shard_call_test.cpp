#include "routing/shard_call.h"

#include <catch2/catch.hpp>

#include "fixture.h"

namespace poplarfront::routing {
namespace {

using namespace std::chrono_literals;
using model::attempt_status;
using model::missing_reason;
using call = shard_call<kernel::manual_clock, recording_transport>;

struct call_fixture {
    kernel::manual_clock clock;
    recording_transport transport;
    seeded_routing_state shared;
    call tested = create(shared);

    call create(seeded_routing_state& objects) {
        return {clock,
                transport,
                objects.context(),
                batch_of({shard(0)}, clock.now() + 500ms),
                shard(0),
                {server(0), server(1)},
                8};
    }

    void reply(std::size_t index, attempt_status status) {
        tested.on_reply(reply_to(transport.sent.at(index), status));
    }

    void wait_for_timer() {
        clock.set(tested.next_timer());
        tested.on_timer();
    }
};

TEST_CASE_METHOD(call_fixture, "a straggler is hedged on another replica and then cancelled") {
    tested.start();
    wait_for_timer();
    REQUIRE(transport.sent.size() == 2);
    CHECK(transport.sent[0].server != transport.sent[1].server);
    CHECK(transport.sent[0].attempt != transport.sent[1].attempt);
    reply(1, attempt_status::ok);
    REQUIRE(tested.result());
    CHECK(tested.result()->reason == missing_reason::none);
    CHECK(transport.cancelled == std::vector{transport.sent[0]});
    CHECK(shared.replicas.in_flight(transport.sent[0].server) == 0);
}

TEST_CASE_METHOD(call_fixture, "replies of others, duplicates and late replies are dropped") {
    tested.start();
    auto other = reply_to(transport.sent[0], attempt_status::ok);
    SECTION("request") {
        other.request = model::request_id::trusted("x");
    }
    SECTION("attempt") {
        other.attempt += 1;
    }
    SECTION("searcher") {
        other.searcher = model::searcher_id::trusted("x");
    }
    SECTION("shard") {
        other.shard = shard(1);
    }
    SECTION("server") {
        other.server = server(9);
    }
    tested.on_reply(other);
    CHECK_FALSE(tested.result());
    CHECK(shared.counters.dropped_replies == 1);
    reply(0, attempt_status::ok);
    const auto first = tested.result();
    reply(0, attempt_status::shed);
    CHECK(tested.result() == first);
    CHECK(shared.counters.dropped_replies == 2);
}

TEST_CASE_METHOD(call_fixture, "an attempt that did not run is retried on another replica") {
    const auto status = GENERATE(attempt_status::shed, attempt_status::draining,
                                 attempt_status::not_sent, attempt_status::version_unavailable);
    tested.start();
    reply(0, status);
    REQUIRE(transport.sent.size() == 2);
    CHECK(transport.sent[0].server != transport.sent[1].server);
    reply(1, status);
    REQUIRE(tested.result());
    CHECK(tested.result()->reason != missing_reason::none);
    CHECK(transport.sent.size() == 2);
}

TEST_CASE_METHOD(call_fixture, "an attempt that may not be repeated ends the call") {
    const auto status =
        GENERATE(attempt_status::wrong_map, attempt_status::bad_request, attempt_status::timed_out);
    tested.start();
    reply(0, status);
    REQUIRE(tested.result());
    CHECK(transport.sent.size() == 1);
}

TEST_CASE_METHOD(call_fixture, "a read lost twice is not sent a third time") {
    shared.quarantine = crash_quarantine({.threshold = 9});
    std::vector<model::server_id> three{server(0), server(1), server(2)};
    call wide(clock, transport, shared.context(), batch_of({shard(0)}, clock.now() + 500ms),
              shard(0), three, 8);
    wide.start();
    wide.on_reply(reply_to(transport.sent.at(0), attempt_status::connection_lost));
    wide.on_reply(reply_to(transport.sent.at(1), attempt_status::connection_lost));
    REQUIRE(wide.result());
    CHECK(wide.result()->reason == missing_reason::connection_lost);
    std::vector lost{transport.sent[0].server, transport.sent[1].server};
    std::sort(lost.begin(), lost.end());
    CHECK(wide.result()->crashed == lost);
    CHECK(transport.sent.size() == 2);
}

TEST_CASE_METHOD(call_fixture, "an empty budget delays a retry instead of adding load") {
    shared.attempt_budget = retry::retry_budget({.burst = 1});
    REQUIRE(shared.attempt_budget.try_take(clock.now()));
    tested.start();
    reply(0, GENERATE(attempt_status::shed, attempt_status::connection_lost));
    CHECK(transport.sent.size() == 1);
    CHECK(shared.counters.budget_denials == 1);
    for (int it = 0; it < 20; ++it) {
        shared.attempt_budget.on_primary(clock.now());
    }
    wait_for_timer();
    CHECK(transport.sent.size() == 2);
}

TEST_CASE_METHOD(call_fixture, "a trial after a crash ends with its call") {
    const auto query = fingerprint_of(model::searcher_id::trusted("mill"), "query");
    tested.start();
    reply(0, attempt_status::connection_lost);
    REQUIRE(transport.sent.size() == 2);
    CHECK_FALSE(shared.quarantine.try_start_trial(query, clock.now(), clock.now() + 1s));
    reply(1, attempt_status::shed);
    REQUIRE(tested.result());
    CHECK(shared.quarantine.try_start_trial(query, clock.now(), clock.now() + 1s));
}

TEST_CASE_METHOD(call_fixture, "a draining backend server gets no attempt, hedge or retry") {
    shared.replicas.mark_draining(server(0), clock.now());
    tested.start();
    CHECK(transport.sent.at(0).server == server(1));
    wait_for_timer();
    reply(0, attempt_status::shed);
    CHECK(transport.sent.size() == 1);
    CHECK(tested.result());
}

TEST_CASE_METHOD(call_fixture, "records of another version are not used") {
    tested.start();
    auto reply = reply_to(transport.sent[0], attempt_status::ok);
    reply.version = {8};
    tested.on_reply(reply);
    REQUIRE(tested.result());
    CHECK(tested.result()->reason == missing_reason::version_unavailable);
    CHECK(tested.result()->records.empty());
}

TEST_CASE_METHOD(call_fixture, "a call ends at the deadline and cancels what is open") {
    tested.start();
    clock.advance(500ms);
    tested.on_timer();
    REQUIRE(tested.result());
    CHECK(tested.result()->reason == missing_reason::timed_out);
    CHECK(transport.cancelled.size() == transport.sent.size());
}

TEST_CASE("a batch gives one result, and a crash in one shard ends the others") {
    kernel::manual_clock clock;
    recording_transport transport;
    seeded_routing_state shared;
    const auto replicas_of = [](const model::shard_ref& ref) {
        const int number = std::stoi(ref.shard.text());
        return number == 2 ? std::vector<model::server_id>{}
                           : std::vector{server(2 * number), server(2 * number + 1)};
    };
    batch_call<kernel::manual_clock, recording_transport> tested(
        clock, transport, shared.context(),
        batch_of({shard(0), shard(1), shard(2)}, clock.now() + 500ms), replicas_of);
    tested.start();
    REQUIRE(transport.sent.size() == 2);
    CHECK_FALSE(tested.result());
    SECTION("answers") {
        tested.on_reply(reply_to(transport.sent[1], attempt_status::ok));
        tested.on_reply(reply_to(transport.sent[0], attempt_status::ok));
        REQUIRE(tested.result());
        CHECK(tested.result()->shards.at(0).records.at(0).key == "0");
        CHECK(tested.result()->shards.at(1).records.at(0).key == "1");
        CHECK(tested.result()->shards.at(2).reason == missing_reason::no_replica);
    }
    SECTION("crashes") {
        tested.on_reply(reply_to(transport.sent[0], attempt_status::connection_lost));
        REQUIRE(transport.sent.size() == 3);
        tested.on_reply(reply_to(transport.sent[2], attempt_status::connection_lost));
        tested.on_timer();
        REQUIRE(tested.result());
        CHECK(tested.result()->shards.at(1).reason == missing_reason::quarantined);
        CHECK(transport.cancelled == std::vector{transport.sent[1]});
    }
    SECTION("cancelled by the entry instance") {
        tested.cancel();
        CHECK(transport.cancelled == transport.sent);
        CHECK(tested.result());
    }
}

}  // namespace
}  // namespace poplarfront::routing
