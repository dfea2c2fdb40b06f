#include "gateway/delegate_selection.h"

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
    const auto small = select_delegates("small-3", all);
    REQUIRE(small.delegates.size() == 2);
    CHECK_FALSE(small.is_delegate);
    const auto large = select_delegates("large-0", all);
    CHECK(large.is_delegate);
    CHECK(20 * small.share + 2 * large.share == Approx(1));
    std::reverse(all.begin(), all.end());
    const auto reversed = select_delegates("small-3", all).delegates;
    CHECK(std::is_permutation(reversed.begin(), reversed.end(), small.delegates.begin()));
}

TEST_CASE("instances of about the same size gather for themselves") {
    CHECK(select_delegates("small-0", instances(19, 0, 0)).delegates.empty());
    CHECK(select_delegates("small-0", instances(10, 5, 0.15)).delegates.empty());
    CHECK(select_delegates("small-0", instances(10, 5, 0.15)).share == Approx(1.0 / 15));
}

TEST_CASE("a few large instances do not gather for a fleet that would overload them") {
    CHECK(select_delegates("small-0", instances(300, 1, 0.5)).delegates.empty());
}

TEST_CASE("of many large instances each small one knows a few, and together they know all") {
    const auto all = instances(100, 40, 0.5);
    std::set<std::string> known;
    for (const auto& it : all) {
        const auto choice = select_delegates(it.name, all);
        CHECK(choice.delegates.size() == 8);
        for (const auto& delegate : choice.delegates) {
            known.insert(delegate.name);
        }
    }
    CHECK(known.size() == 40);
    CHECK(select_delegates("large-0", all).share == Approx(0.75 / 40));
}

TEST_CASE("registrations without a size make no gatherers") {
    std::vector<registered_instance> unknown{{"a", "10.0.0.1:1", "a", 0},
                                             {"b", "10.0.0.1:1", "a", 0}};
    CHECK(select_delegates("a", unknown).delegates.empty());
    CHECK(select_delegates("a", unknown).share == Approx(0.5));
}

}  // namespace
}  // namespace poplarfront::gateway
