#include "gateway/fleet_tracker.h"

#include <catch2/catch.hpp>

#include "fixture.h"

namespace poplarfront::gateway {
namespace {

std::shared_ptr<const gateway_configuration> configuration_with_version(
    std::uint64_t version_number) {
    gateway_configuration configuration;
    configuration.version = version_number;
    return std::make_shared<const gateway_configuration>(configuration);
}

std::size_t backend_count(fleet_tracker& tracker, kernel::time_point now = start_time) {
    return tracker.take_view(now).backends_of(service("s")).size();
}

const auto id = model::server_id::trusted("a");

TEST_CASE("a configuration is never replaced by an older version") {
    fleet_tracker tracker;
    CHECK(tracker.on_configuration(configuration_with_version(5)));
    CHECK_FALSE(tracker.on_configuration(configuration_with_version(3)));
    CHECK_FALSE(tracker.on_configuration(configuration_with_version(5)));
    CHECK(tracker.take_view(start_time).configuration->version == 5);
}

TEST_CASE("a registration of an older revision does not restore a removed backend server") {
    fleet_tracker tracker;
    tracker.on_backend(*backend("a", "s"), 10);
    tracker.on_backend_removed(id, 20, start_time);
    tracker.on_backend(*backend("a", "s"), 15);
    CHECK(backend_count(tracker) == 0);
    tracker.on_backend(*backend("a", "s"), 21);
    CHECK(backend_count(tracker) == 1);
}

TEST_CASE("a registration written before a removal but applied after it is ignored") {
    fleet_tracker tracker;
    auto entry = *backend("a", "s");
    entry.started_ms = 1000;
    entry.sequence = 7;
    tracker.on_backend(entry, 10);
    tracker.on_backend_removed(id, 20, start_time);
    entry.sequence = 6;
    tracker.on_backend(entry, 21);
    CHECK(backend_count(tracker) == 0);
    entry.sequence = 7;
    tracker.on_backend(entry, 22);
    CHECK(backend_count(tracker) == 0);
    SECTION("the backend server registers again") {
        entry.sequence = 8;
        tracker.on_backend(entry, 23);
        CHECK(backend_count(tracker) == 1);
    }
    SECTION("the backend server restarts under the same id") {
        entry.started_ms = 2000;
        entry.sequence = 1;
        tracker.on_backend(entry, 23);
        CHECK(backend_count(tracker) == 1);
    }
}

TEST_CASE("a draining backend server is not in the view") {
    fleet_tracker tracker;
    auto draining = *backend("a", "s");
    tracker.on_backend(draining, 10);
    draining.state = backend_state::draining;
    tracker.on_backend(draining, 11);
    CHECK(backend_count(tracker) == 0);
}

TEST_CASE("a removal without a preceding store failure takes effect at once") {
    fleet_tracker tracker;
    tracker.on_store_result(true, start_time);
    tracker.on_backend(*backend("a", "s"), 10);
    tracker.on_backend_removed(id, 11, start_time);
    CHECK(backend_count(tracker) == 0);
}

TEST_CASE("a removal after a store outage leaves time for the backend server to register again") {
    fleet_tracker tracker;
    tracker.on_backend(*backend("a", "s"), 10);
    tracker.on_store_result(false, start_time);
    tracker.on_store_result(true, start_time + milliseconds{500});
    tracker.on_backend_removed(id, 11, start_time + milliseconds{500});
    CHECK(backend_count(tracker) == 1);
    SECTION("the backend server registers again") {
        tracker.on_backend(*backend("a", "s"), 12);
        CHECK_FALSE(tracker.next_timer());
        CHECK(backend_count(tracker) == 1);
    }
    SECTION("the backend server does not register again") {
        REQUIRE(tracker.next_timer());
        CHECK(*tracker.next_timer() <= start_time + milliseconds{3500});
        tracker.on_timer(*tracker.next_timer());
        CHECK(backend_count(tracker) == 0);
    }
}

TEST_CASE("many removals at once are attributed to an undetected store outage") {
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
    CHECK(backend_count(tracker) > 0.75 * count);
    REQUIRE(tracker.next_timer());
    CHECK(*tracker.next_timer() <= start_time + milliseconds{2400});
    tracker.on_timer(*tracker.next_timer());
    CHECK(backend_count(tracker) == 0);
}

// Guards against a delay that is added to the time in which an instance gets no updates: the
// registrations may have been removed at the beginning of that time.
TEST_CASE("many removals after a time without updates are deferred for less") {
    fleet_tracker tracker;
    const std::vector<std::string> names{"a", "b", "c", "d"};
    for (const auto& it : names) {
        tracker.on_backend(*backend(it, "s"), 10);
    }
    tracker.on_store_result(true, start_time);
    const auto [silence, expected_delay] =
        GENERATE(table<milliseconds, milliseconds>({{milliseconds{0}, milliseconds{2000}},
                                                    {milliseconds{250}, milliseconds{2000}},
                                                    {milliseconds{1500}, milliseconds{750}},
                                                    {milliseconds{3000}, milliseconds{0}}}));
    const auto now = start_time + silence;
    for (const auto& it : names) {
        tracker.on_backend_removed(model::server_id::trusted(it), 20, now);
    }
    tracker.on_store_result(true, now);
    if (expected_delay > milliseconds{0}) {
        REQUIRE(tracker.next_timer());
        CHECK(*tracker.next_timer() == now + expected_delay);
        tracker.on_timer(now + expected_delay);
        CHECK(backend_count(tracker) == 0);
    } else {
        // The first two removals are not many.
        CHECK_FALSE(tracker.next_timer());
        CHECK(backend_count(tracker) == 0);
    }
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
    CHECK(backend_count(tracker) == 35);
}

TEST_CASE("a listing removes backend servers missing from it, except newer registrations") {
    fleet_tracker tracker;
    tracker.on_backend(*backend("a", "s"), 10);
    tracker.on_backend(*backend("b", "s"), 30);
    tracker.on_backends_listed({}, 20, start_time);
    const auto view = tracker.take_view(start_time);
    REQUIRE(view.backends_of(service("s")).size() == 1);
    CHECK(view.backends_of(service("s")).front()->id.text() == "b");
}

TEST_CASE("an invalid registration removes only its own backend server") {
    fleet_tracker tracker;
    tracker.on_backend(*backend("a", "s"), 10);
    tracker.on_backend(*backend("b", "s"), 11);
    tracker.on_unusable_backend(id, 12);
    CHECK(backend_count(tracker) == 1);
}

TEST_CASE("an instance is counted until its retention time after the removal has passed") {
    fleet_tracker tracker;
    tracker.on_instance({"one", "10.0.0.1:1", "a", 1});
    tracker.on_instance({"two", "10.0.0.2:1", "a", 1});
    tracker.on_instance_removed("two", start_time);
    CHECK(tracker.take_view(start_time + std::chrono::seconds{30}).instances == 2);
    CHECK(tracker.take_view(start_time + std::chrono::seconds{90}).instances == 1);
}

TEST_CASE("a renewed registration without a change does not change the view") {
    fleet_tracker tracker;
    tracker.on_backend(*backend("a", "s"), 10);
    tracker.take_view(start_time);
    tracker.on_backend(*backend("a", "s"), 11);
    CHECK_FALSE(tracker.changed());
}

}  // namespace
}  // namespace poplarfront::gateway
