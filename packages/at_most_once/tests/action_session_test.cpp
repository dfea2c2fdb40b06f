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

constexpr wall_time now_wall = milliseconds{1'700'000'000'000};

struct recorded_claims {
    claim_ticket claim(const claim_request&, wall_time) { return ++last; }
    void abandon(claim_ticket ticket) { abandoned.push_back(ticket); }
    claim_ticket complete(const held_claim&, const std::string& reply) {
        completed.push_back(reply);
        return ++last;
    }
    claim_ticket release(const held_claim& claim) {
        released.push_back(claim.nonce);
        return ++last;
    }
    claim_ticket last = 0;
    std::vector<claim_ticket> abandoned;
    std::vector<std::string> completed;
    std::vector<std::uint64_t> released;
};

struct recorded_transport {
    void send(const model::action_request&) { ++sent; }
    void forward(const model::instance_id&, const model::action_request&) { ++sent; }
    int sent = 0;
};

struct fixture {
    explicit fixture(const std::string& key = "1700000000000-a")
        : request{model::request_id::trusted("r"),
                  model::searcher_id::trusted("s"),
                  {model::service_id::trusted("billing"), model::shard_id::trusted("0")},
                  key,
                  "body",
                  clock.now() + milliseconds{100}},
          session(clock, transport, claims, request) {
        session.start(now_wall);
    }
    void hold() { session.on_claim_event({1, claim_status::held, {{1, 2, 3}, 9, now_wall}}); }
    void reply(attempt_status status) {
        session.on_reply({request.request, request.searcher, status, "done"});
    }
    void record() { session.on_claim_event({2, claim_status::recorded}); }
    [[nodiscard]] model::action_outcome outcome() const {
        REQUIRE(session.result());
        return *session.result();
    }

    kernel::manual_clock clock;
    recorded_transport transport;
    recorded_claims claims;
    model::action_request request;
    action_session<kernel::manual_clock, recorded_transport, recorded_claims> session;
};

TEST_CASE("an action is sent only once it is claimed and answered once it is recorded") {
    fixture f;
    CHECK(f.transport.sent == 0);
    f.hold();
    f.hold();
    CHECK(f.transport.sent == 1);
    f.reply(attempt_status::ok);
    CHECK_FALSE(f.session.result());
    f.record();
    CHECK(f.outcome() == model::action_outcome{action_status::executed, "done", ""});
    CHECK(f.claims.completed == std::vector<std::string>{"done"});
    CHECK(f.session.finished());
}

TEST_CASE("a holder that was paused past the deadline does not send") {
    fixture paused;
    paused.clock.advance(milliseconds{100});
    paused.hold();
    CHECK(paused.transport.sent == 0);
    CHECK(paused.claims.released == std::vector<std::uint64_t>{9});
    CHECK(paused.outcome().status == action_status::not_run);

    fixture timed;
    timed.clock.advance(milliseconds{100});
    timed.session.on_timer();
    CHECK(timed.claims.abandoned == std::vector<claim_ticket>{1});
    timed.hold();
    CHECK(timed.transport.sent == 0);
    CHECK(timed.outcome().status == action_status::not_run);
}

TEST_CASE("without a reply by the deadline the outcome is unknown, and a late one is recorded") {
    fixture f;
    f.hold();
    f.clock.advance(milliseconds{100});
    f.session.on_timer();
    CHECK(f.outcome().status == action_status::unknown);
    CHECK_FALSE(f.session.finished());
    f.reply(attempt_status::ok);
    CHECK(f.claims.completed.size() == 1);
    CHECK(f.outcome().status == action_status::unknown);
}

TEST_CASE("a forwarded action without a result in time is unknown") {
    fixture f;
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
