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

TEST_CASE("large instances read the store, since the news of a change go to all others at once") {
    // A change of all shards is some 100 KB for each of 30 instances; on a link of 17 Mbit/s that
    // took longer than a configuration may.
    std::vector<registered_instance> instances;
    for (int it = 0; it < 30; ++it) {
        instances.push_back(
            {"front-" + std::to_string(it), "10.0.0.1:1", "a", it == 17 ? 0.5 : 0.1});
    }
    CHECK(readers_of("a", instances, 2).front().name == "front-17");
}

TEST_CASE("a reader that the store turns away knows the readers of all data centres") {
    // Of 120 instances 8 read the store. Asked at random, two at a time, they were found too late
    // for a configuration to be in force within 5 s.
    std::vector<registered_instance> instances;
    for (int it = 0; it < 120; ++it) {
        instances.push_back({"front-" + std::to_string(it), "10.0.0.1:1",
                             std::string(1, static_cast<char>('a' + it % 4))});
    }
    const auto own = readers_of("a", instances, 2).front();
    const auto others = other_readers(own.name, instances, 2);
    CHECK(others.size() == 7);
    for (const auto& it : others) {
        CHECK(it.name != own.name);
        const auto local = readers_of(it.data_centre, instances, 2);
        CHECK(std::find(local.begin(), local.end(), it) != local.end());
    }
    CHECK(other_readers("front-0", {}, 2).empty());
}

}  // namespace
}  // namespace poplarfront::gateway
