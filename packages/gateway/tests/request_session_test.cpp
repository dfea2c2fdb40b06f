#include <catch2/catch.hpp>
#include <set>

#include "fixture.h"
#include "gateway/top_records.h"

namespace poplarfront::gateway {
namespace {

std::string record(char letter) {
    return std::string(record_bytes, letter);
}

TEST_CASE("a gather is answered when all shards have replied, greatest records first") {
    const fleet fleet{4};
    running_session run{fleet, fleet.gather};
    REQUIRE(run.transport.sent.size() == 4);
    run.deliver_result(0, success("a", record('a') + record('z')), milliseconds{5});
    run.deliver_result(1, success("b", record('b')), milliseconds{6});
    run.deliver_result(2, success("c"), milliseconds{7});
    REQUIRE(run.transport.answers.empty());
    run.deliver_result(3, success("d", record('y')), milliseconds{8});
    REQUIRE(run.transport.answers.size() == 1);
    const auto& answer = run.transport.answers.front();
    CHECK(answer.kind == answer_kind::gathered);
    CHECK(answer.missing == 0);
    CHECK(answer.signatures == std::vector<std::string>{"a", "b", "c", "d"});
    CHECK(answer.records == record('z') + record('y') + record('b') + record('a'));
}

TEST_CASE("a gather with a straggler is answered before its objective without that part") {
    const fleet fleet{4, 1};
    running_session run{fleet, fleet.gather};
    for (std::size_t it = 0; it < 3; ++it) {
        run.deliver_result(it, success("part" + std::to_string(it)), milliseconds{10});
    }
    // The margin is 17 ms: the assumed round trip, the initial answer delay, and what an instance
    // cannot observe.
    run.run_timers(milliseconds{82});
    CHECK(run.transport.answers.empty());
    run.run_timers(milliseconds{83});
    REQUIRE(run.transport.answers.size() == 1);
    CHECK(run.transport.answers.front().kind == answer_kind::gathered);
    CHECK(run.transport.answers.front().missing == 1);
    CHECK(run.transport.answers.front().signatures.size() == 3);
}

TEST_CASE("a gather below its minimum coverage times out") {
    const fleet fleet{4, 1};
    running_session run{fleet, fleet.gather};
    run.deliver_result(0, success("a"), milliseconds{10});
    run.deliver_result(1, success("b"), milliseconds{10});
    run.run_timers(milliseconds{590});
    CHECK(run.transport.answers.empty());
    run.run_timers(milliseconds{600});
    REQUIRE(run.transport.answers.size() == 1);
    CHECK(run.transport.answers.front().kind == answer_kind::timed_out);
}

TEST_CASE("a gather past its objective is answered once the minimum coverage is reached") {
    const fleet fleet{4, 1};
    running_session run{fleet, fleet.gather};
    run.deliver_result(0, success("a"), milliseconds{10});
    run.deliver_result(1, success("b"), milliseconds{10});
    run.run_timers(milliseconds{200});
    run.deliver_result(2, success("c"), milliseconds{200});
    REQUIRE(run.transport.answers.size() == 1);
    CHECK(run.transport.answers.front().missing == 1);
}

TEST_CASE("the objective counts from the client's first attempt") {
    const fleet fleet{4, 1};
    traffic_state state{test_options(), 1};
    fake_transport transport;
    const auto view = fleet.published();
    // The time-out of an earlier request is the one that clients start with.
    session first{state, transport, view, fleet.gather, request(milliseconds{600})};
    first.start(start_time);
    fake_transport second_transport;
    session second{state, second_transport, view, fleet.gather, request(milliseconds{560})};
    second.start(start_time);
    for (attempt_number it = 0; it < 3; ++it) {
        second.on_result(it, success("part" + std::to_string(it)), start_time + milliseconds{10});
    }
    // 40 of 100 ms were spent on the client's earlier attempt, and the margin is 17 ms.
    second.on_timer(start_time + milliseconds{42});
    CHECK(second_transport.answers.empty());
    second.on_timer(start_time + milliseconds{43});
    CHECK(second_transport.answers.size() == 1);
}

TEST_CASE("a straggling part is hedged to the other replica, and the first reply is used") {
    const fleet fleet{4};
    running_session run{fleet, fleet.gather};
    for (std::size_t it = 0; it < 3; ++it) {
        run.deliver_result(it, success("part" + std::to_string(it)), milliseconds{10});
    }
    run.run_timers(milliseconds{60});
    REQUIRE(run.transport.sent.size() == 5);
    CHECK(run.transport.sent[4].service == run.transport.sent[3].service);
    CHECK(run.transport.sent[4].server != run.transport.sent[3].server);
    run.deliver_result(4, success("hedge"), milliseconds{70});
    REQUIRE(run.transport.answers.size() == 1);
    CHECK(run.transport.answers.front().missing == 0);
    // The late reply of the first attempt is ignored.
    run.deliver_result(3, success("late"), milliseconds{80});
    CHECK(run.transport.answers.size() == 1);
}

TEST_CASE("with known latencies a hedge is sent after the quantile of the latencies") {
    const fleet fleet{1, 2};
    traffic_state state{test_options(), 1};
    for (int it = 0; it < 50; ++it) {
        state.statistics_of(fleet.single).on_latency(milliseconds{10});
    }
    fake_transport transport;
    session run{state, transport, fleet.published(), fleet.single, request()};
    run.start(start_time);
    run.on_timer(start_time + milliseconds{9});
    CHECK(transport.sent.size() == 1);
    run.on_timer(start_time + milliseconds{30});
    CHECK(transport.sent.size() == 2);
}

TEST_CASE("no part is sent to more backend servers than the route allows") {
    const fleet fleet{1, 5};
    running_session run{fleet, fleet.single};
    run.deliver_result(0, ended(attempt_end::lost), milliseconds{1});
    REQUIRE(run.transport.sent.size() == 2);
    run.deliver_result(1, ended(attempt_end::lost), milliseconds{2});
    run.run_timers(milliseconds{600});
    std::set<std::string> servers;
    for (const auto& it : run.transport.sent) {
        servers.insert(it.server);
    }
    CHECK(servers.size() <= 2);
    REQUIRE(run.transport.answers.size() == 1);
    CHECK(run.transport.answers.front().kind == answer_kind::failed);
}

route at_most_once(route it) {
    it.kind = retry_safety::at_most_once;
    return it;
}

TEST_CASE("an at-most-once request is not retried if it may have run") {
    const fleet fleet{1, 3};
    for (const auto end : {attempt_end::lost, attempt_end::timed_out}) {
        running_session run{fleet, at_most_once(fleet.single)};
        run.run_timers(milliseconds{500});
        run.deliver_result(0, ended(end), milliseconds{510});
        run.run_timers(milliseconds{600});
        CHECK(run.transport.sent.size() == 1);
        REQUIRE(run.transport.answers.size() == 1);
        CHECK(run.transport.answers.front().kind == answer_kind::failed);
    }
}

TEST_CASE("an at-most-once request is retried after a refusal or an unsent attempt") {
    const fleet fleet{1, 3};
    for (const auto& first : {reply_with_status(503, false), ended(attempt_end::not_sent),
                              reply_with_status(421, false)}) {
        running_session run{fleet, at_most_once(fleet.single)};
        run.deliver_result(0, first, milliseconds{1});
        REQUIRE(run.transport.sent.size() == 2);
        run.deliver_result(1, success("once"), milliseconds{20});
        REQUIRE(run.transport.answers.size() == 1);
        CHECK(run.transport.answers.front().reply.signature == "once");
    }
}

TEST_CASE("the answer is not_run only if no backend server can have run the request") {
    const fleet fleet{1, 2};
    SECTION("all backend servers refused") {
        running_session run{fleet, at_most_once(fleet.single)};
        for (std::size_t it = 0; it < run.transport.sent.size(); ++it) {
            run.deliver_result(it, reply_with_status(503, false), milliseconds{1});
        }
        REQUIRE(run.transport.answers.size() == 1);
        CHECK(run.transport.answers.front().kind == answer_kind::not_run);
        CHECK(run.transport.answers.front().retry_after > kernel::duration::zero());
    }
    SECTION("a backend server may still be running the request at the final deadline") {
        running_session run{fleet, at_most_once(fleet.single)};
        run.run_timers(milliseconds{600});
        REQUIRE(run.transport.answers.size() == 1);
        CHECK(run.transport.answers.front().kind == answer_kind::timed_out);
    }
    SECTION("a backend server that ran the request answers 503") {
        auto ran = reply_with_status(503, true);
        ran.reply.status_implies_not_run = true;
        running_session run{fleet, at_most_once(fleet.single)};
        run.deliver_result(0, ran, milliseconds{1});
        REQUIRE(run.transport.answers.size() == 1);
        CHECK(run.transport.answers.front().kind == answer_kind::failed);
    }
}

TEST_CASE("a request for a service without backend servers is refused at once") {
    fleet fleet{1};
    fleet.view.backends.clear();
    running_session run{fleet, fleet.single};
    REQUIRE(run.transport.answers.size() == 1);
    CHECK(run.transport.answers.front().kind == answer_kind::not_run);
}

TEST_CASE("a server error is forwarded if no other attempt is possible") {
    const fleet fleet{1, 2};
    running_session run{fleet, fleet.single};
    run.deliver_result(0, reply_with_status(500, true), milliseconds{1});
    run.deliver_result(1, reply_with_status(500, true), milliseconds{2});
    REQUIRE(run.transport.answers.size() == 1);
    CHECK(run.transport.answers.front().kind == answer_kind::passed_on);
    CHECK(run.transport.answers.front().reply.status == 500);
}

TEST_CASE("a server error is not used as a part of a gather") {
    const fleet fleet{4, 1};
    running_session run{fleet, fleet.gather};
    run.deliver_result(0, reply_with_status(500, true), milliseconds{1});
    for (std::size_t it = 1; it < 4; ++it) {
        run.deliver_result(it, success("part" + std::to_string(it)), milliseconds{10});
    }
    run.run_timers(milliseconds{100});
    REQUIRE(run.transport.answers.size() == 1);
    CHECK(run.transport.answers.front().signatures ==
          std::vector<std::string>{"part1", "part2", "part3"});
}

TEST_CASE("a backend server whose address has a new owner gets no further requests") {
    const fleet fleet{1, 2};
    running_session run{fleet, fleet.single};
    auto other = reply_with_status(421, false);
    other.reply.misdirected = true;
    const auto server = run.transport.sent[0].server;
    run.deliver_result(0, other, milliseconds{1});
    REQUIRE(run.transport.sent.size() == 2);
    CHECK(run.transport.sent[1].server != server);
    CHECK(run.state.replicas().draining(model::server_id::trusted(server),
                                        start_time + milliseconds{2}));
}

TEST_CASE("attempts are cancelled only after a delay when the client has disconnected") {
    const fleet fleet{1, 2};
    running_session run{fleet, fleet.single};
    run.session.on_client_disconnected(start_time + milliseconds{10});
    run.run_timers(milliseconds{250});
    CHECK(run.transport.cancelled.empty());
    run.run_timers(milliseconds{270});
    CHECK(run.transport.cancelled.size() == run.transport.sent.size());
    CHECK(run.transport.answers.empty());
}

TEST_CASE("an at-most-once request is not cancelled when the client has disconnected") {
    const fleet fleet{1, 2};
    running_session run{fleet, at_most_once(fleet.single)};
    run.session.on_client_disconnected(start_time + milliseconds{10});
    run.run_timers(milliseconds{5000});
    CHECK(run.transport.cancelled.empty());
}

TEST_CASE("a backend server in the same data centre is preferred to a remote one") {
    fleet fleet{1, 0};
    fleet.view.backends[service("s0")] = {backend("far", "s0", "elsewhere"),
                                          backend("near", "s0", "near")};
    running_session run{fleet, fleet.single};
    CHECK(run.transport.sent.front().server == "near");
}

TEST_CASE("requests wait for a free connection and are served by priority") {
    fleet fleet{1, 1};
    fleet.configuration.services[service("s0")] = service_options{1};
    fleet.single.objective = milliseconds{1000};
    traffic_state state{test_options(), 1};
    const auto view = fleet.published();
    fake_transport transports[3];
    auto urgent = fleet.single;
    urgent.priority = 0;
    auto less_urgent = fleet.single;
    less_urgent.priority = 5;
    session running{state, transports[0], view, less_urgent, request()};
    session waiting{state, transports[1], view, less_urgent, request()};
    session urgent_waiting{state, transports[2], view, urgent, request()};
    running.start(start_time);
    waiting.start(start_time);
    urgent_waiting.start(start_time);
    REQUIRE(transports[0].sent.size() == 1);
    CHECK(transports[1].sent.empty());
    CHECK(transports[2].sent.empty());
    running.on_result(0, success("done"), start_time + milliseconds{10});
    CHECK(transports[1].sent.empty());
    CHECK(transports[2].sent.size() == 1);
    urgent_waiting.on_result(0, success("done"), start_time + milliseconds{20});
    CHECK(transports[1].sent.size() == 1);
}

// Guards against requests that wait until their deadline beside a free connection, because the one
// that was woken for it could not be sent.
TEST_CASE("a connection that the first waiting request cannot use goes to the next one") {
    fleet fleet{1, 1};
    fleet.configuration.services[service("s0")] = service_options{1};
    fleet.single.objective = milliseconds{1000};
    traffic_state state{test_options(), 1};
    const auto view = fleet.published();
    fake_transport transports[4];
    session running{state, transports[0], view, fleet.single, request()};
    session expired{state, transports[1], view, fleet.single, request(milliseconds{5})};
    session also_expired{state, transports[2], view, fleet.single, request(milliseconds{5})};
    session waiting{state, transports[3], view, fleet.single, request()};
    for (auto* it : {&running, &expired, &also_expired, &waiting}) {
        it->start(start_time);
    }
    CHECK(transports[3].sent.empty());
    running.on_result(0, success("done"), start_time + milliseconds{10});
    CHECK(transports[1].sent.empty());
    CHECK(transports[2].sent.empty());
    CHECK(transports[3].sent.size() == 1);
}

TEST_CASE("a request that waits too long for a connection is refused before its deadline") {
    // The client can retry at another instance, which may have a free connection.
    fleet fleet{1, 1};
    fleet.configuration.services[service("s0")] = service_options{1};
    traffic_state state{test_options(), 1};
    const auto view = fleet.published();
    fake_transport busy_transport;
    fake_transport transport;
    session busy{state, busy_transport, view, fleet.single, request()};
    session waiting{state, transport, view, fleet.single, request()};
    busy.start(start_time);
    waiting.start(start_time);
    CHECK(transport.answers.empty());
    waiting.on_timer(start_time + milliseconds{25});
    REQUIRE(transport.answers.size() == 1);
    CHECK(transport.answers.front().kind == answer_kind::not_run);
}

TEST_CASE("a request that has crashed several backend servers is not sent any more") {
    const fleet fleet{1, 8};
    traffic_state state{test_options(), 1};
    const auto view = fleet.published();
    std::size_t sent = 0;
    for (int round = 0; round < 6; ++round) {
        fake_transport transport;
        session run{state, transport, view, fleet.single, request()};
        run.start(start_time);
        for (std::size_t it = 0; it < transport.sent.size(); ++it) {
            run.on_result(transport.sent[it].attempt, ended(attempt_end::lost), start_time);
            end_probes(run, transport, false, start_time);
        }
        sent += transport.sent.size();
        REQUIRE(transport.answers.size() == 1);
    }
    CHECK(sent <= 6);
}

TEST_CASE("extra requests stay within the ratio plus this instance's share of the slack") {
    fleet fleet{1, 2};
    fleet.view.instances = 10;
    auto options = test_options();
    options.extra_ratio = 0.1;
    options.extra_slack = 100;
    traffic_state state{options, 1};
    const auto view = fleet.published();
    constexpr int requests = 500;
    std::size_t sent = 0;
    for (int it = 0; it < requests; ++it) {
        fake_transport transport;
        auto made = request();
        made.fingerprint = static_cast<std::uint64_t>(it);
        session run{state, transport, view, fleet.single, made};
        run.start(start_time);
        for (std::size_t n = 0; n < transport.sent.size(); ++n) {
            run.on_result(transport.sent[n].attempt, reply_with_status(500, true), start_time);
        }
        sent += transport.sent.size();
    }
    CHECK(sent > requests);
    CHECK(static_cast<double>(sent - requests) <= 0.1 * requests + 100.0 / 10);
}

TEST_CASE("a gather fails without retries if the budget does not allow enough of them") {
    fleet fleet{20, 1};
    auto options = test_options();
    options.extra_ratio = 0;
    options.extra_slack = 0;
    running_session run{fleet, fleet.gather, request(), options};
    // Without any budget the refused parts of 6 of 20 shards cannot be retried.
    for (std::size_t it = 0; it < 6; ++it) {
        run.deliver_result(it, reply_with_status(503, false), milliseconds{1});
    }
    CHECK(run.transport.answers.empty());
    run.run_timers(milliseconds{8});
    CHECK(run.transport.sent.size() == 20);
    REQUIRE(run.transport.answers.size() == 1);
    CHECK(run.transport.answers.front().kind == answer_kind::failed);
}

TEST_CASE("refused parts of a gather are retried, even on the backend server that refused") {
    const fleet fleet{4, 1};
    running_session run{fleet, fleet.gather};
    for (std::size_t it = 0; it < 4; ++it) {
        run.deliver_result(it, reply_with_status(503, false), milliseconds{1});
    }
    run.run_timers(milliseconds{8});
    REQUIRE(run.transport.sent.size() >= 7);
    for (std::size_t it = 4; it < run.transport.sent.size(); ++it) {
        run.deliver_result(it, success("part" + std::to_string(it)), milliseconds{20});
    }
    run.run_timers(milliseconds{100});
    REQUIRE(run.transport.answers.size() == 1);
    CHECK(run.transport.answers.front().kind == answer_kind::gathered);
}

TEST_CASE("requests of a split are distributed in proportion to the weights") {
    fleet fleet{2, 1};
    fleet.configuration.services[service("s0")] = service_options{1'000'000};
    auto split = fleet.single;
    split.target = weighted_split{{{service("s0"), 3}, {service("s1"), 1}}};
    traffic_state state{test_options(), 1};
    const auto view = fleet.published();
    int first = 0;
    constexpr int requests = 4000;
    for (int it = 0; it < requests; ++it) {
        fake_transport transport;
        session run{state, transport, view, split, request()};
        run.start(start_time);
        REQUIRE(transport.sent.size() == 1);
        first += transport.sent[0].service == "s0" ? 1 : 0;
        run.on_result(0, success("done"), start_time);
    }
    CHECK(first == Approx(0.75 * requests).margin(0.03 * requests));
}

TEST_CASE("an attempt's deadline is within the client's time-out and the route's time-out") {
    const fleet fleet{1, 1};
    CHECK(running_session(fleet, fleet.single, request(milliseconds{200}))
              .transport.sent[0]
              .deadline <= start_time + milliseconds{200});
    CHECK(running_session(fleet, fleet.single, request(milliseconds{5000}))
              .transport.sent[0]
              .deadline <= start_time + milliseconds{600});
}

TEST_CASE("an unconfirmed gather is sent to only one backend server of each shard") {
    const fleet fleet{4, 3};
    traffic_state state{test_options(), 1, start_time - std::chrono::seconds{60}};
    fake_transport transport;
    const session_limits limits{start_time + milliseconds{90}, start_time + milliseconds{500}, 1};
    session delegated{state, transport, fleet.published(), fleet.gather, request(), limits};
    delegated.start(start_time);
    REQUIRE(transport.sent.size() == 4);
    while (delegated.next_timer() && *delegated.next_timer() <= start_time + milliseconds{60}) {
        delegated.on_timer(*delegated.next_timer());
    }
    CHECK(transport.sent.size() == 4);
    CHECK(transport.sent.front().deadline == limits.final_deadline);
    // An attempt that is lost before the confirmation is not retried, one lost after it is.
    delegated.on_result(0, ended(attempt_end::lost), start_time + milliseconds{61});
    CHECK(transport.sent.size() == 4);
    delegated.set_max_attempts(2);
    delegated.on_result(1, ended(attempt_end::lost), start_time + milliseconds{62});
    CHECK(transport.sent.size() == 5);
}

TEST_CASE("a frequent request with a few lost replies is not put into quarantine") {
    // In each round the reply of one backend server is lost and all others are complete.
    const fleet fleet{4, 4};
    const auto view = fleet.published();
    traffic_state state{test_options(), 1};
    for (int round = 0; round < 20; ++round) {
        INFO("round " << round);
        fake_transport transport;
        auto repeated = request();
        repeated.received += std::chrono::seconds{round};
        session repeated_session{state, transport, view, fleet.gather, repeated};
        repeated_session.start(repeated.received);
        REQUIRE(transport.sent.size() == 4);
        for (std::size_t it = 0; it < transport.sent.size(); ++it) {
            const bool reply_lost = it == 0;
            repeated_session.on_result(transport.sent[it].attempt,
                                       reply_lost ? ended(attempt_end::lost) : success("good"),
                                       repeated.received + milliseconds{5});
        }
    }
}

TEST_CASE("a request that crashes every backend server is refused after a few rounds") {
    const fleet fleet{4, 4};
    const auto view = fleet.published();
    traffic_state state{test_options(), 1};
    fake_transport transport;
    std::size_t lost = 0;
    std::size_t sent_before_quarantine = 0;
    constexpr int rounds_until_quarantine = 5;
    for (int round = 0; round < 2 * rounds_until_quarantine; ++round) {
        sent_before_quarantine =
            round == rounds_until_quarantine ? transport.sent.size() : sent_before_quarantine;
        auto repeated = request();
        repeated.received += milliseconds{100 * round};
        const auto now = repeated.received;
        session crashing{state, transport, view, fleet.single, repeated};
        crashing.start(now);
        for (; lost < transport.sent.size(); ++lost) {
            crashing.on_result(transport.sent[lost].attempt, ended(attempt_end::lost), now);
            end_probes(crashing, transport, false, now);
        }
    }
    CHECK(transport.sent.size() == sent_before_quarantine);
    CHECK(transport.answers.back().kind == answer_kind::not_run);
}

}  // namespace
}  // namespace poplarfront::gateway
