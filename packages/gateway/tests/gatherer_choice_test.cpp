#include "gateway/gatherer_choice.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <set>

namespace poplarfront::gateway {
namespace {

std::vector<registered_instance> instances(int small, int large, double size) {
    std::vector<registered_instance> made;
    for (int it = 0; it < small; ++it) {
        made.push_back({"small-" + std::to_string(it), "10.0.0.1:1", "a", 0.1});
    }
    for (int it = 0; it < large; ++it) {
        made.push_back({"large-" + std::to_string(it), "10.0.0.2:1", "b", size});
    }
    return made;
}

TEST_CASE("large instances gather for many small ones, and shares add up to the whole") {
    auto all = instances(20, 2, 0.5);
    const auto small = choose_gatherers("small-3", all);
    REQUIRE(small.gatherers.size() == 2);
    CHECK_FALSE(small.is_gatherer);
    const auto large = choose_gatherers("large-0", all);
    CHECK(large.is_gatherer);
    CHECK(20 * small.share + 2 * large.share == Approx(1));
    std::reverse(all.begin(), all.end());
    const auto reversed = choose_gatherers("small-3", all).gatherers;
    CHECK(std::is_permutation(reversed.begin(), reversed.end(), small.gatherers.begin()));
}

TEST_CASE("instances of about the same size gather for themselves") {
    CHECK(choose_gatherers("small-0", instances(19, 0, 0)).gatherers.empty());
    CHECK(choose_gatherers("small-0", instances(10, 5, 0.15)).gatherers.empty());
    CHECK(choose_gatherers("small-0", instances(10, 5, 0.15)).share == Approx(1.0 / 15));
}

TEST_CASE("a few large instances do not gather for a fleet that would overload them") {
    CHECK(choose_gatherers("small-0", instances(300, 1, 0.5)).gatherers.empty());
}

TEST_CASE("of many large instances each small one knows a few, and together they know all") {
    const auto all = instances(100, 40, 0.5);
    std::set<std::string> known;
    for (const auto& it : all) {
        const auto choice = choose_gatherers(it.name, all);
        CHECK(choice.gatherers.size() == 8);
        for (const auto& gatherer : choice.gatherers) {
            known.insert(gatherer.name);
        }
    }
    CHECK(known.size() == 40);
    CHECK(choose_gatherers("large-0", all).share == Approx(0.75 / 40));
}

TEST_CASE("registrations without a size make no gatherers") {
    std::vector<registered_instance> unknown{{"a", "10.0.0.1:1", "a", 0},
                                             {"b", "10.0.0.1:1", "a", 0}};
    CHECK(choose_gatherers("a", unknown).gatherers.empty());
    CHECK(choose_gatherers("a", unknown).share == Approx(0.5));
}

}  // namespace
}  // namespace poplarfront::gateway
