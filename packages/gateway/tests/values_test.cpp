#include <catch2/catch.hpp>

#include "fixture.h"
#include "gateway/top_records.h"
#include "gateway/weighted_choice.h"

namespace poplarfront::gateway {
namespace {

std::string record(char letter) {
    return std::string(record_bytes, letter);
}

TEST_CASE("equal records of several parts all count") {
    const auto a = record('b') + record('a');
    const auto b = record('b');
    CHECK(top_records({a, b}, 3) == record('b') + record('b') + record('a'));
}

TEST_CASE("records are compared as unsigned bytes") {
    const auto high = std::string(record_bytes, '\xff');
    CHECK(top_records({record('a'), high}, 1) == high);
}

TEST_CASE("a rest shorter than a record is left out") {
    CHECK(top_records({record('a') + "zzz", "zz"}, 5) == record('a'));
    CHECK(top_records({}, 5).empty());
    CHECK(top_records({record('a')}, 0).empty());
}

TEST_CASE("a part without weight gets no requests, also at the ends of the range") {
    const weighted_split split{{{service("none"), 0}, {service("all"), 2}}};
    CHECK(choose_weighted(split, 0) == service("all"));
    CHECK(choose_weighted(split, 0.999999) == service("all"));
}

TEST_CASE("a place in the wait list that is left is not served") {
    wait_list<int> list;
    const auto first = list.add(service("s"), 1, 1);
    list.add(service("s"), 1, 2);
    list.add(service("s"), 0, 3);
    list.remove(service("s"), first);
    CHECK(list.take_first(service("s")) == 3);
    CHECK(list.take_first(service("s")) == 2);
    CHECK_FALSE(list.take_first(service("s")));
}

TEST_CASE("slow backend servers do not raise the delay after which an attempt straggles") {
    route_statistics statistics;
    for (int it = 0; it < 100; ++it) {
        statistics.on_latency(it % 5 == 0 ? milliseconds{200} : milliseconds{10});
    }
    CHECK(statistics.hedge_delay(0.93, milliseconds{50}) < milliseconds{40});
}

TEST_CASE("each instance takes its share of a backend server's connections, and one at least") {
    fleet fleet{1};
    traffic_state state{test_options(), 1};
    fleet.configuration.services[service("s0")] = service_options{55};
    fleet.view.instances = 19;
    CHECK(state.in_flight_limit(*fleet.published(), service("s0")) == 2);
    fleet.view.instances = 124;
    CHECK(state.in_flight_limit(*fleet.published(), service("s0")) == 1);
}

TEST_CASE("a gather leaves time for the way to the client and for a slow processor") {
    traffic_state state{test_options(), 1};
    route_statistics statistics;
    CHECK(state.answer_margin(statistics, gather_location::local) == milliseconds{10});
    // All clients of an instance may come on new connections.
    statistics.observe_client_timeout(milliseconds{393}, milliseconds{400});
    // A repeated attempt says nothing of the way.
    statistics.observe_client_timeout(milliseconds{200}, milliseconds{400});
    for (int it = 0; it < 10; ++it) {
        state.on_answer_delay(milliseconds{12}, gather_location::local);
    }
    // 7 ms for the way, 12 ms for the processor, and 4 ms that an instance does not see.
    CHECK(state.answer_margin(statistics, gather_location::local) >= milliseconds{22});
    CHECK(state.answer_margin(statistics, gather_location::local) <= milliseconds{23});
    for (int it = 0; it < 50; ++it) {
        state.on_answer_delay(milliseconds{2}, gather_location::local);
    }
    CHECK(state.answer_margin(statistics, gather_location::local) >= milliseconds{13});
    CHECK(state.answer_margin(statistics, gather_location::local) <= milliseconds{14});
}

TEST_CASE("a budget that is first used late has filled since the start of the process") {
    const fleet fleet{1};
    const auto view = fleet.published();
    traffic_state fresh{test_options(), 1, start_time};
    traffic_state older{test_options(), 1, start_time - std::chrono::seconds{30}};
    CHECK(older.budget_of(service("s0"), *view, start_time).tokens() >
          fresh.budget_of(service("s0"), *view, start_time).tokens() + 1);
    // A reload that leaves the ratio alone gives no new tokens.
    while (fresh.budget_of(service("s0"), *view, start_time).try_take_reserved(start_time)) {
    }
    fresh.set_options(test_options());
    CHECK(fresh.budget_of(service("s0"), *view, start_time).tokens() < 1);
}

TEST_CASE("the shards' limits are divided among gatherers, other services' among all") {
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
