#include <boost/json.hpp>
#include <catch2/catch.hpp>

#include "processes/tier.h"

using namespace poplarfront::process_tests;

// Guards against a key of the policy section that is accepted but has no effect.
TEST_CASE("The admission limit of the policy section is in force", "[policy]") {
    constexpr double max_in_flight = 3.0;
    tier tier{{.instances = 1, .shards = 1, .policy = "[admission]\nmax_in_flight = 3\n"}};
    CHECK(tier.search(0, "all").complete);
    const auto response =
        tier.call(tier.operator_address(0), {"GET", "/state", "", ""}, seconds{2});
    const auto state = boost::json::parse(response.response.body);
    CHECK(state.at("admission").at(0).at("limit").to_number<double>() <= max_in_flight);
}
