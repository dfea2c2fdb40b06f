#include "gateway/update_window.h"

#include <catch2/catch.hpp>

namespace poplarfront::gateway {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t part_bytes = 100;
const kernel::time_point start_time{};

update_window_options test_options() {
    update_window_options options;
    options.max_bytes = 3 * part_bytes;
    options.timeout = milliseconds{1000};
    return options;
}

enum class decision { send, send_again, wait };

/// Requests an update of `bytes`, which is added if the window allows it.
decision request(update_window& window, const std::string& address, std::uint64_t revision,
                 kernel::time_point now, std::size_t bytes = part_bytes) {
    using last_update = update_window::last_update;
    const store_position known{revision, revision, ""};
    const auto last = window.on_request(address, known, now);
    if (last == last_update::in_flight || !window.try_add(address, known, bytes, now)) {
        return decision::wait;
    }
    return last == last_update::lost ? decision::send_again : decision::send;
}

// Guards against an instance whose memory is filled by updates for many followers that ask at the
// same time.
TEST_CASE("updates for many followers stay within the limit, and all are served in turn") {
    update_window window{test_options()};
    constexpr int follower_count = 10;
    std::vector<bool> served(follower_count, false);
    auto now = start_time;
    int rounds = 0;
    while (std::count(served.begin(), served.end(), true) < follower_count) {
        REQUIRE(++rounds < follower_count);
        for (int n = 0; n < follower_count; ++n) {
            // A follower that was served asks for what comes next, which shows that it was.
            const auto position = static_cast<std::uint64_t>(served[n] ? 2 : 1);
            const auto address = "follower" + std::to_string(n);
            if (served[n]) {
                window.on_request(address, {position, position, ""}, now);
            } else if (request(window, address, position, now) != decision::wait) {
                served[n] = true;
            }
            CHECK(window.bytes_in_flight() <= 3 * part_bytes);
        }
        now += milliseconds{250};
    }
}

// Guards against updates that exceed the limit together, since only those before them were counted.
TEST_CASE("an update that would exceed the limit has to wait, unless it is alone") {
    update_window window{test_options()};
    CHECK(request(window, "a", 1, start_time, 2 * part_bytes) == decision::send);
    CHECK(request(window, "b", 1, start_time, 2 * part_bytes) == decision::wait);
    CHECK(request(window, "c", 1, start_time, part_bytes) == decision::send);
    CHECK(window.bytes_in_flight() == 3 * part_bytes);
    const auto later = start_time + milliseconds{1000};
    CHECK(request(window, "b", 1, later, 5 * part_bytes) == decision::send);
    CHECK(request(window, "c", 2, later, part_bytes) == decision::wait);
    CHECK(window.bytes_in_flight() == 5 * part_bytes);
}

// Guards against a follower whose connection is stalled and that asks again and again: each reply
// would be queued beside the earlier ones.
TEST_CASE("an update is sent again only when it counts as lost") {
    update_window window{test_options()};
    CHECK(request(window, "a", 1, start_time) == decision::send);
    CHECK(request(window, "a", 1, start_time + milliseconds{250}) == decision::wait);
    CHECK(request(window, "a", 1, start_time + milliseconds{999}) == decision::wait);
    CHECK(request(window, "b", 1, start_time + milliseconds{1000}) == decision::send);
    CHECK(request(window, "a", 1, start_time + milliseconds{1000}) == decision::send_again);
    CHECK(window.bytes_in_flight() == 2 * part_bytes);
    CHECK(request(window, "a", 2, start_time + milliseconds{1001}) == decision::send);
    CHECK(window.bytes_in_flight() == 2 * part_bytes);
}

// Guards against followers that end after their request and keep all others from being served.
TEST_CASE("updates for followers that have left do not count for longer than the time-out") {
    update_window window{test_options()};
    for (const auto* it : {"a", "b", "c"}) {
        CHECK(request(window, it, 1, start_time) == decision::send);
    }
    CHECK(request(window, "d", 1, start_time + milliseconds{250}) == decision::wait);
    CHECK(request(window, "d", 1, start_time + milliseconds{1000}) == decision::send);
    CHECK(window.bytes_in_flight() == part_bytes);
}

}  // namespace
}  // namespace poplarfront::gateway
