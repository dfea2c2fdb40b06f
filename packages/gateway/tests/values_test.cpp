#include <catch2/catch.hpp>
#include <cmath>

#include "fixture.h"
#include "gateway/top_records.h"
#include "gateway/weighted_choice.h"

namespace poplarfront::gateway {
namespace {

std::string record(char letter) {
    return std::string(record_bytes, letter);
}

TEST_CASE("equal records of several parts are all kept") {
    const auto a = record('b') + record('a');
    const auto b = record('b');
    CHECK(top_records({a, b}, 3) == record('b') + record('b') + record('a'));
}

TEST_CASE("records are compared as unsigned bytes") {
    const auto high = std::string(record_bytes, '\xff');
    CHECK(top_records({record('a'), high}, 1) == high);
}

TEST_CASE("trailing bytes shorter than a record are ignored") {
    CHECK(top_records({record('a') + "zzz", "zz"}, 5) == record('a'));
    CHECK(top_records({}, 5).empty());
    CHECK(top_records({record('a')}, 0).empty());
}

TEST_CASE("a service of weight 0 at the start of the range gets no requests") {
    const weighted_split split{{{service("none"), 0}, {service("all"), 2}}};
    CHECK(choose_weighted(split, 0) == service("all"));
    CHECK(choose_weighted(split, 0.999999) == service("all"));
}

// Guards against rounding that leaves a rest after the last part with a weight.
TEST_CASE("a service of weight 0 at the end of the range gets no requests") {
    const weighted_split split{
        {{service("a"), 0.1}, {service("b"), 0.2}, {service("c"), 0.3}, {service("none"), 0}}};
    CHECK(choose_weighted(split, std::nextafter(1.0, 0.0)) == service("c"));
}

TEST_CASE("an entry removed from the wait list is not served, the others by priority") {
    wait_list<int> list;
    const auto first = list.add(service("s"), 1, 1);
    list.add(service("s"), 1, 2);
    list.add(service("s"), 0, 3);
    list.remove(service("s"), first);
    CHECK(list.take_first(service("s")) == 3);
    CHECK(list.take_first(service("s")) == 2);
    CHECK_FALSE(list.take_first(service("s")));
}

TEST_CASE("a few slow backend servers do not raise the hedge delay") {
    route_statistics statistics;
    for (int it = 0; it < 100; ++it) {
        statistics.on_latency(it % 5 == 0 ? milliseconds{200} : milliseconds{10});
    }
    CHECK(statistics.hedge_delay(0.93, milliseconds{50}) < milliseconds{40});
}

TEST_CASE("each instance uses its share of a backend server's connections, at least one") {
    fleet fleet{1};
    traffic_state state{test_options(), 1};
    fleet.configuration.services[service("s0")] = service_options{55};
    fleet.view.instances = 19;
    CHECK(state.in_flight_limit(*fleet.published(), service("s0")) == 2);
    fleet.view.instances = 124;
    CHECK(state.in_flight_limit(*fleet.published(), service("s0")) == 1);
}

TEST_CASE("the answer margin covers the round trip to the client and the answer delay") {
    traffic_state state{test_options(), 1};
    auto wanted = fleet{1}.gather;
    wanted.timeout = milliseconds{400};
    // The assumed round trip of 6 ms, the initial delay of 7 ms, and 4 ms that an instance cannot
    // observe.
    CHECK(state.answer_margin(gather_location::local) == milliseconds{17});
    // A client time-out of 393 ms on a route with 400 ms: 7 ms were spent on connecting. No request
    // with the full time-out is needed, since all clients may use new connections.
    state.limits_for(wanted, request(milliseconds{393}), gather_location::local);
    // A client's later attempt is no measure of the round trip.
    state.limits_for(wanted, request(milliseconds{200}), gather_location::local);
    for (int it = 0; it < 10; ++it) {
        state.on_answer_delay(milliseconds{12}, gather_location::local);
    }
    // 7 ms of round trip, 12 ms of answer delay, and 4 ms that an instance cannot observe.
    CHECK(state.answer_margin(gather_location::local) >= milliseconds{22});
    CHECK(state.answer_margin(gather_location::local) <= milliseconds{23});
    for (int it = 0; it < 50; ++it) {
        state.on_answer_delay(milliseconds{2}, gather_location::local);
    }
    CHECK(state.answer_margin(gather_location::local) >= milliseconds{13});
    CHECK(state.answer_margin(gather_location::local) <= milliseconds{14});
}

TEST_CASE("a budget that is first used late has been refilled since the process started") {
    const fleet fleet{1};
    const auto view = fleet.published();
    traffic_state fresh{test_options(), 1, start_time};
    traffic_state older{test_options(), 1, start_time - std::chrono::seconds{30}};
    CHECK(older.budget_of(service("s0"), *view, start_time).tokens() >
          fresh.budget_of(service("s0"), *view, start_time).tokens() + 1);
    // A reload that does not change the ratio adds no tokens.
    while (fresh.budget_of(service("s0"), *view, start_time).try_take_reserved(start_time)) {
    }
    fresh.set_options(test_options());
    CHECK(fresh.budget_of(service("s0"), *view, start_time).tokens() < 1);
}

TEST_CASE("shards use the shard share of the limits, other services an equal share per instance") {
    fleet fleet{2};
    fleet.view.instances = 100;
    fleet.view.shard_share = 0.1;
    fleet.view.shards =
        std::make_shared<const std::set<model::service_id>>(std::set{service("s0")});
    CHECK(fleet.view.share_of(service("s0")) == Approx(0.1));
    CHECK(fleet.view.share_of(service("s1")) == Approx(0.01));
    traffic_state state{test_options(), 1};
    CHECK(state.in_flight_limit(*fleet.published(), service("s0")) == 4);
    CHECK(state.in_flight_limit(*fleet.published(), service("s1")) == 1);
}

}  // namespace
}  // namespace poplarfront::gateway
