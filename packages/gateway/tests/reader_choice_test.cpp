#include "gateway/reader_choice.h"

#include <algorithm>
#include <catch2/catch.hpp>

namespace poplarfront::gateway {
namespace {

TEST_CASE("instances choose the same readers, whatever the order in which they know each other") {
    std::vector<registered_instance> instances;
    for (int it = 0; it < 20; ++it) {
        instances.push_back({"front-" + std::to_string(it), "10.0.0.1:1", it % 2 == 0 ? "a" : "b"});
    }
    const auto readers = readers_of("a", instances, 2);
    REQUIRE(readers.size() == 2);
    CHECK(readers[0].data_centre == "a");
    std::reverse(instances.begin(), instances.end());
    CHECK(readers_of("a", instances, 2) == readers);
    CHECK(readers_of("a", instances, 100).size() == 10);
    CHECK(readers_of("c", instances, 2).empty());
}

}  // namespace
}  // namespace poplarfront::gateway
