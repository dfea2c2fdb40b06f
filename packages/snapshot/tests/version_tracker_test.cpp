#include "snapshot/version_tracker.h"

#include <catch2/catch.hpp>

namespace poplarfront::snapshot {
namespace {

const model::service_id service = model::service_id::trusted("s");

model::server_id server(int number) {
    return model::server_id::trusted("b" + std::to_string(number));
}

model::shard_ref shard(int number) {
    return {service, model::shard_id::trusted(std::to_string(number))};
}

model::version_range range(std::uint64_t oldest, std::uint64_t newest) {
    return {{oldest}, {newest}};
}

/// Shard n is held by the backend servers 2n and 2n + 1.
model::shard_map map_of(int shards) {
    std::vector<model::server_info> servers;
    model::service_info info{service, "", {}};
    for (int it = 0; it < shards; ++it) {
        info.shards.push_back({shard(it).shard, {server(2 * it), server(2 * it + 1)}});
        servers.push_back({server(2 * it)});
        servers.push_back({server(2 * it + 1)});
    }
    return *model::shard_map::create({1}, {info}, servers);
}

TEST_CASE("a version that one shard does not serve yet is not chosen") {
    const auto map = map_of(2);
    const std::vector<model::shard_ref> shards{shard(0), shard(1)};
    version_tracker tracker;
    CHECK_FALSE(tracker.choose(map, shards));
    tracker.observe(server(0), range(3, 5));
    CHECK(tracker.choose(map, shards) == model::index_version{5});
    tracker.observe(server(2), range(3, 4));
    CHECK(tracker.choose(map, shards) == model::index_version{4});
    tracker.observe(server(3), range(5, 6));
    CHECK(tracker.choose(map, shards) == model::index_version{5});
}

TEST_CASE("a version in the gap between the ranges of two replicas is not chosen") {
    const auto map = map_of(2);
    const std::vector<model::shard_ref> shards{shard(0), shard(1)};
    version_tracker tracker;
    tracker.observe(server(0), range(8, 9));
    tracker.observe(server(1), range(3, 4));
    tracker.observe(server(2), range(4, 7));
    CHECK(tracker.choose(map, shards) == model::index_version{4});
    tracker.observe(server(1), range(1, 2));
    CHECK(tracker.choose(map, shards) == model::index_version{9});
}

TEST_CASE("a shard with an outdated version range does not hold back the other shards") {
    const auto map = map_of(3);
    const std::vector<model::shard_ref> shards{shard(0), shard(1), shard(2)};
    version_tracker tracker;
    tracker.observe(shard(0), range(1, 3));
    tracker.observe(shard(1), range(6, 8));
    tracker.observe(shard(2), range(7, 9));
    CHECK(tracker.choose(map, shards) == model::index_version{8});
}

TEST_CASE("versions reported per shard are used, and removed backend servers are forgotten") {
    const auto map = map_of(1);
    const std::vector<model::shard_ref> shards{shard(0)};
    version_tracker tracker;
    tracker.observe(shard(0), range(2, 7));
    tracker.observe(server(9), range(1, 1));
    CHECK(tracker.choose(map, shards) == model::index_version{7});
    tracker.retain(map);
    CHECK_FALSE(tracker.held_by(server(9)));
    CHECK(tracker.choose(map, shards) == model::index_version{7});
}

}  // namespace
}  // namespace poplarfront::snapshot
