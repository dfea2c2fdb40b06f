#include "capacity/measurement.h"

#include <algorithm>
#include <catch2/catch.hpp>

namespace poplarfront::capacity {
namespace {

std::vector<sample> run(const std::string& name) {
    const capacity_options options{{17}, {100}, {0}, 4, 1};
    const auto& all = kernel::extension_point<measurement>::entries();
    const auto found =
        std::find_if(all.begin(), all.end(), [&](const auto& it) { return it.name == name; });
    REQUIRE(found != all.end());
    auto samples = found->run(options);
    REQUIRE_FALSE(samples.empty());
    return samples;
}

// A figure of a change that never took effect would look like a cheap one.
TEST_CASE("the measured changes of the configuration are in force") {
    CHECK(run("configuration_section").front().figures.at("applied") == 6);
    CHECK(run("configuration_spread").front().figures.at("reached") == 1);
}

// Queries that end early would cost less than real ones.
TEST_CASE("the measured queries are complete and send two messages per group") {
    for (const auto& it : run("traffic")) {
        CHECK(it.figures.at("complete") == 1);
        CHECK(it.figures.at("peer_messages_per_query") == Approx(2 * it.sizes.at("groups")));
    }
}

// Refused claims make no writes and would lower the count.
TEST_CASE("the measured claims are made, and batching saves writes") {
    const auto samples = run("claims");
    CHECK(std::all_of(samples.begin(), samples.end(),
                      [](const auto& it) { return it.figures.at("refused") == 0; }));
    CHECK(samples[8].figures.at("writes_per_action") < samples[2].figures.at("writes_per_action"));
}

// An error in the parts would let the owners exceed what a backend server accepts.
TEST_CASE("in owned mode the parts keep the limits of a backend server") {
    for (const auto& it : run("connections")) {
        if (it.sizes.at("owned") == 1) {
            CHECK(it.figures.at("connections_per_server") <= 55);
            CHECK(it.figures.at("slots_per_server") <= 2);
        }
    }
}

// An unnoticed change of the relays or of the writer would leave the page's count out of date.
TEST_CASE("store calls are counted for all relays and for accepted changes") {
    const auto counted = run("store_calls").front().figures;
    CHECK(counted.at("relays") == 12);
    CHECK(counted.at("accepted") == 1);
    CHECK(counted.at("writes_per_change") == Approx(2));
}

}  // namespace
}  // namespace poplarfront::capacity
