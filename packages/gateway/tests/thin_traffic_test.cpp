#include <catch2/catch.hpp>
#include <map>

#include "fixture.h"

namespace poplarfront::gateway {
namespace {

/// Fraction of the gathers that clients receive within the objective. Each of many instances gets a
/// request of each route now and then, most of them on open connections.
double fraction_in_time(std::size_t instances, std::size_t requests_per_route) {
    constexpr milliseconds one_way_delay{3};
    // From the partial deadline until the answer of a delegate was written.
    constexpr milliseconds answer_delay{7};
    constexpr std::uint64_t new_connection_in = 3;
    auto quick = fleet{4}.gather;
    quick.objective = milliseconds{50};
    quick.timeout = milliseconds{300};
    auto full = quick;
    full.name = "full";
    full.objective = milliseconds{100};
    kernel::seeded_random_source random{1};
    std::size_t in_time = 0;
    std::size_t sent = 0;
    for (std::size_t it = 0; it < instances; ++it) {
        traffic_state state{test_options(), it};
        for (std::size_t n = 0; n < requests_per_route; ++n) {
            for (const auto* wanted : {&quick, &full}) {
                const bool connects = random.next() % new_connection_in == 0;
                const auto spent = connects ? 2 * one_way_delay : milliseconds{0};
                const auto limits = state.limits_for(*wanted, request(milliseconds{300} - spent),
                                                     gather_location::delegated);
                const auto latency = spent + 2 * one_way_delay + answer_delay +
                                     (limits.partial_deadline - start_time);
                in_time += latency <= wanted->objective ? 1 : 0;
                ++sent;
            }
        }
    }
    return static_cast<double>(in_time) / static_cast<double>(sent);
}

// Guards against answers that are ready but arrive after the objective, because an instance of a
// large fleet has seen no new connection on the route, from which it learns the round trip.
TEST_CASE("gathers are answered in time although each of 295 instances sees few requests") {
    const auto requests_per_route = GENERATE(std::size_t{1}, std::size_t{3}, std::size_t{10});
    CHECK(fraction_in_time(295, requests_per_route) >= 0.99);
}

}  // namespace
}  // namespace poplarfront::gateway
