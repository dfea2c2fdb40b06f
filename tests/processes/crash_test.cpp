#include <catch2/catch.hpp>

#include "processes/tier.h"

using namespace poplarfront::process_tests;

namespace {

std::size_t ended_backends(tier& tier) {
    std::size_t count = 0;
    for (std::size_t n = 0; n < tier.backends(); ++n) {
        count += tier.backend(n).wait(milliseconds{0}) ? 1 : 0;
    }
    return count;
}

}  // namespace

// Guards against a query that crashes more backend servers each time its caller sends it again.
TEST_CASE("A query that crashes backend servers is quarantined on all instances", "[crash]") {
    // The first crash symptom and the one try after it, see section 5.1 of the design.
    constexpr std::size_t allowed = 2;
    tier tier{
        {.shards = 8, .backend_arguments = {"--latency-us", "1000", "--crash-text", "all boom"}}};
    for (std::size_t n = 0; n < tier.instances(); ++n) {
        REQUIRE(tier.search(n, "all").complete);
    }
    std::vector<search_view> answers;
    for (std::size_t n = 0; n < 2 * tier.instances(); ++n) {
        answers.push_back(tier.search(n % tier.instances(), "all boom"));
        std::this_thread::sleep_for(milliseconds{100});
    }
    CHECK(ended_backends(tier) >= 1);
    CHECK(ended_backends(tier) <= allowed);
    WARN(ended_backends(tier) << " backend servers ended");
    for (const auto& it : answers) {
        INFO(it.text);
        CHECK(!it.complete);
    }
    INFO(answers.back().text);
    CHECK(answers.back().text.find("quarantined") != std::string::npos);
}
