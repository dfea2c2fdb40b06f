#include "at_most_once/action_session.h"

#include <catch2/catch.hpp>
#include <vector>

#include "at_most_once/forwarded_action.h"
#include "kernel/clock_and_random_sources.h"

namespace poplarfront::at_most_once {
namespace {

using model::action_status;
using model::attempt_status;
using std::chrono::hours;
using std::chrono::milliseconds;

constexpr wall_time wall_now = milliseconds{1'700'000'000'000};

struct recording_claims {
    claim_ticket claim(const claim_request&, wall_time) { return ++last_ticket; }
    void abandon(claim_ticket ticket) { abandoned.push_back(ticket); }
    claim_ticket complete(const held_claim&, const std::string& reply) {
        completed.push_back(reply);
        return ++last_ticket;
    }
    claim_ticket release(const held_claim& claim) {
        released.push_back(claim.nonce);
        return ++last_ticket;
    }
    claim_ticket last_ticket = 0;
    std::vector<claim_ticket> abandoned;
    std::vector<std::string> completed;
    std::vector<std::uint64_t> released;
};

struct recording_transport {
    void send(const model::action_request&) { ++sent; }
    void forward(const model::instance_id&, const model::action_request&) { ++sent; }
    int sent = 0;
};

struct session_fixture {
    explicit session_fixture(const std::string& key = "1700000000000-a")
        : request{model::request_id::trusted("r"),
                  model::searcher_id::trusted("s"),
                  {model::service_id::trusted("billing"), model::shard_id::trusted("0")},
                  key,
                  "body",
                  clock.now() + milliseconds{100}},
          session(clock, transport, claims, request) {
        session.start(wall_now);
    }
    void grant_claim() {
        session.on_claim_event({1, claim_status::held, {{1, 2, 3}, 9, wall_now}});
    }
    void reply(attempt_status status) {
        session.on_reply({request.request, request.searcher, status, "done"});
    }
    void confirm_record() { session.on_claim_event({2, claim_status::recorded}); }
    [[nodiscard]] model::action_outcome outcome() const {
        REQUIRE(session.result());
        return *session.result();
    }

    kernel::manual_clock clock;
    recording_transport transport;
    recording_claims claims;
    model::action_request request;
    action_session<kernel::manual_clock, recording_transport, recording_claims> session;
};

TEST_CASE(
    "an action is sent only after it is claimed, and its result is given after it is recorded") {
    session_fixture f;
    CHECK(f.transport.sent == 0);
    f.grant_claim();
    // A repeated event must not send the action again.
    f.grant_claim();
    CHECK(f.transport.sent == 1);
    f.reply(attempt_status::ok);
    CHECK_FALSE(f.session.result());
    f.confirm_record();
    CHECK(f.outcome() == model::action_outcome{action_status::executed, "done", ""});
    CHECK(f.claims.completed == std::vector<std::string>{"done"});
    CHECK(f.session.finished());
}

// After a pause of the instance, the event of the claim may be handled before or after the deadline
// timer.
TEST_CASE("an action whose claim is granted after the deadline is not sent") {
    session_fixture event_first;
    event_first.clock.advance(milliseconds{100});
    event_first.grant_claim();
    CHECK(event_first.transport.sent == 0);
    CHECK(event_first.claims.released == std::vector<std::uint64_t>{9});
    CHECK(event_first.outcome().status == action_status::not_run);

    session_fixture timer_first;
    timer_first.clock.advance(milliseconds{100});
    timer_first.session.on_timer();
    CHECK(timer_first.claims.abandoned == std::vector<claim_ticket>{1});
    timer_first.grant_claim();
    CHECK(timer_first.transport.sent == 0);
    CHECK(timer_first.outcome().status == action_status::not_run);
}

TEST_CASE("without a reply by the deadline the outcome is unknown, and a late reply is recorded") {
    session_fixture f;
    f.grant_claim();
    f.clock.advance(milliseconds{100});
    f.session.on_timer();
    CHECK(f.outcome().status == action_status::unknown);
    CHECK_FALSE(f.session.finished());
    f.reply(attempt_status::ok);
    CHECK(f.claims.completed.size() == 1);
    CHECK(f.outcome().status == action_status::unknown);
}

TEST_CASE("a forwarded action without a result by the deadline has the outcome unknown") {
    session_fixture f;
    forwarded_action forwarded{f.clock, f.transport, model::instance_id::trusted("home"),
                               f.request};
    forwarded.start();
    CHECK(f.transport.sent == 1);
    forwarded.on_result(f.request.request, model::searcher_id::trusted("other"),
                        {action_status::executed, "theirs", ""});
    CHECK_FALSE(forwarded.result());
    f.clock.advance(milliseconds{100});
    forwarded.on_timer();
    CHECK(forwarded.result()->status == action_status::unknown);
}

}  // namespace
}  // namespace poplarfront::at_most_once
