#include "gateway/fleet_tracker.h"

#include <catch2/catch.hpp>

#include "fixture.h"

namespace poplarfront::gateway {
namespace {

std::shared_ptr<const gateway_configuration> version(std::uint64_t n) {
    gateway_configuration configuration;
    configuration.version = n;
    return std::make_shared<const gateway_configuration>(configuration);
}

std::size_t backends(fleet_tracker& tracker, kernel::time_point now = start_time) {
    return tracker.take_view(now).backends_of(service("s")).size();
}

const auto id = model::server_id::trusted("a");

TEST_CASE("a configuration never goes back to an older version") {
    fleet_tracker tracker;
    CHECK(tracker.on_configuration(version(5)));
    CHECK_FALSE(tracker.on_configuration(version(3)));
    CHECK_FALSE(tracker.on_configuration(version(5)));
    CHECK(tracker.take_view(start_time).configuration->version == 5);
}

TEST_CASE("news of an older revision does not bring a removed backend server back") {
    fleet_tracker tracker;
    tracker.on_backend(*backend("a", "s"), 10);
    tracker.on_backend_removed(id, 20, start_time);
    tracker.on_backend(*backend("a", "s"), 15);
    CHECK(backends(tracker) == 0);
    tracker.on_backend(*backend("a", "s"), 21);
    CHECK(backends(tracker) == 1);
}

TEST_CASE("a registration that was written before the removal and done after it is not believed") {
    fleet_tracker tracker;
    auto entry = *backend("a", "s");
    entry.started_ms = 1000;
    entry.sequence = 7;
    tracker.on_backend(entry, 10);
    tracker.on_backend_removed(id, 20, start_time);
    entry.sequence = 6;
    tracker.on_backend(entry, 21);
    CHECK(backends(tracker) == 0);
    entry.sequence = 7;
    tracker.on_backend(entry, 22);
    CHECK(backends(tracker) == 0);
    SECTION("the backend server registers again") {
        entry.sequence = 8;
        tracker.on_backend(entry, 23);
        CHECK(backends(tracker) == 1);
    }
    SECTION("it starts again under its id") {
        entry.started_ms = 2000;
        entry.sequence = 1;
        tracker.on_backend(entry, 23);
        CHECK(backends(tracker) == 1);
    }
}

TEST_CASE("a draining backend server gets no new requests") {
    fleet_tracker tracker;
    auto draining = *backend("a", "s");
    tracker.on_backend(draining, 10);
    draining.state = backend_state::draining;
    tracker.on_backend(draining, 11);
    CHECK(backends(tracker) == 0);
}

TEST_CASE("a removal in calm times takes effect at once") {
    fleet_tracker tracker;
    tracker.on_store_result(true, start_time);
    tracker.on_backend(*backend("a", "s"), 10);
    tracker.on_backend_removed(id, 11, start_time);
    CHECK(backends(tracker) == 0);
}

TEST_CASE("a removal after an outage of the store waits for the backend server to register again") {
    fleet_tracker tracker;
    tracker.on_backend(*backend("a", "s"), 10);
    tracker.on_store_result(false, start_time);
    tracker.on_store_result(true, start_time + milliseconds{500});
    tracker.on_backend_removed(id, 11, start_time + milliseconds{500});
    CHECK(backends(tracker) == 1);
    SECTION("it returns") {
        tracker.on_backend(*backend("a", "s"), 12);
        CHECK_FALSE(tracker.next_timer());
        CHECK(backends(tracker) == 1);
    }
    SECTION("it does not return") {
        REQUIRE(tracker.next_timer());
        CHECK(*tracker.next_timer() <= start_time + milliseconds{3500});
        tracker.on_timer(*tracker.next_timer());
        CHECK(backends(tracker) == 0);
    }
}

TEST_CASE("many removals at once are a lapse during an outage that was not seen") {
    fleet_tracker tracker;
    tracker.on_store_result(true, start_time);
    constexpr int count = 40;
    for (int it = 0; it < count; ++it) {
        tracker.on_backend(*backend("b" + std::to_string(it), "s"), 10);
    }
    for (int it = 0; it < count; ++it) {
        tracker.on_backend_removed(model::server_id::trusted("b" + std::to_string(it)), 20,
                                   start_time);
    }
    CHECK(backends(tracker) > 0.75 * count);
    REQUIRE(tracker.next_timer());
    CHECK(*tracker.next_timer() <= start_time + milliseconds{2400});
    tracker.on_timer(*tracker.next_timer());
    CHECK(backends(tracker) == 0);
}

TEST_CASE("a few removals in a large fleet take effect at once") {
    fleet_tracker tracker;
    for (int it = 0; it < 40; ++it) {
        tracker.on_backend(*backend("b" + std::to_string(it), "s"), 10);
    }
    for (int it = 0; it < 5; ++it) {
        tracker.on_backend_removed(model::server_id::trusted("b" + std::to_string(it)), 20,
                                   start_time);
    }
    CHECK(backends(tracker) == 35);
}

TEST_CASE("what a listing does not name has been removed, unless news is newer than the listing") {
    fleet_tracker tracker;
    tracker.on_backend(*backend("a", "s"), 10);
    tracker.on_backend(*backend("b", "s"), 30);
    tracker.on_backends_listed({}, 20, start_time);
    const auto view = tracker.take_view(start_time);
    REQUIRE(view.backends_of(service("s")).size() == 1);
    CHECK(view.backends_of(service("s")).front()->id.text() == "b");
}

TEST_CASE("a registration that cannot be used takes its backend server out and no other") {
    fleet_tracker tracker;
    tracker.on_backend(*backend("a", "s"), 10);
    tracker.on_backend(*backend("b", "s"), 11);
    tracker.on_unusable_backend(id, 12);
    CHECK(backends(tracker) == 1);
}

TEST_CASE("an instance whose registration lapsed still counts for a while") {
    fleet_tracker tracker;
    tracker.on_instance({"one", "10.0.0.1:1", "a", 1});
    tracker.on_instance({"two", "10.0.0.2:1", "a", 1});
    tracker.on_instance_removed("two", start_time);
    CHECK(tracker.take_view(start_time + std::chrono::seconds{30}).instances == 2);
    CHECK(tracker.take_view(start_time + std::chrono::seconds{90}).instances == 1);
}

TEST_CASE("a heartbeat without a change publishes no new view") {
    fleet_tracker tracker;
    tracker.on_backend(*backend("a", "s"), 10);
    tracker.take_view(start_time);
    tracker.on_backend(*backend("a", "s"), 11);
    CHECK_FALSE(tracker.changed());
}

}  // namespace
}  // namespace poplarfront::gateway
