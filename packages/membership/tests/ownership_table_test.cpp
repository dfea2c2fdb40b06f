#include "membership/ownership_table.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <set>
#include <string>

namespace poplarfront::membership {
namespace {

using model::instance_id;
using model::instance_status;
using model::server_id;
using model::shard_ref;

model::server_info server(const std::string& name, std::uint32_t slots, std::uint32_t connections) {
    return {server_id::trusted(name), "127.0.0.1:1", model::data_centre_id::trusted("nadia"), slots,
            connections};
}

shard_ref shard(const std::string& service, std::size_t n) {
    return {model::service_id::trusted(service), model::shard_id::trusted(std::to_string(n))};
}

std::string server_name(const std::string& service, std::size_t n, const char* replica) {
    return service + "-" + std::to_string(n) + replica;
}

/// A map of services with `shards` shards each; each shard is on two backend servers of its own.
model::shard_map map_without_shared_servers(std::size_t services, std::size_t shards,
                                            std::uint32_t slots = 2) {
    std::vector<model::service_info> list;
    std::vector<model::server_info> servers;
    for (std::size_t s = 0; s < services; ++s) {
        const auto name = "s" + std::to_string(s);
        model::service_info service{model::service_id::trusted(name), "", {}};
        for (std::size_t n = 0; n < shards; ++n) {
            const auto a = server_name(name, n, "a");
            const auto b = server_name(name, n, "b");
            servers.push_back(server(a, slots, 55));
            servers.push_back(server(b, slots, 55));
            service.shards.push_back(
                {shard(name, n).shard, {server_id::trusted(a), server_id::trusted(b)}});
        }
        list.push_back(std::move(service));
    }
    return model::shard_map::create({1}, std::move(list), std::move(servers)).value();
}

model::instance_view instances(std::size_t count) {
    model::instance_view view;
    for (std::size_t n = 0; n < count; ++n) {
        const auto id = instance_id::trusted("i" + std::to_string(n));
        view.instances.emplace(id, model::instance_info{id, {}, "127.0.0.1:1", {1}});
    }
    return view;
}

model::instance_view with_status(model::instance_view view, const std::string& name,
                                 instance_status status) {
    view.instances.at(instance_id::trusted(name)).status = status;
    return view;
}

ownership_table table(const model::shard_map& map, const model::instance_view& view,
                      ownership_policy policy = {owner_mode::owned, 14, 2}) {
    return ownership_table::create(map, view, policy).value();
}

std::vector<instance_id> owner_list(const ownership_table& from, std::size_t group) {
    const auto owners = from.owners(group);
    return {owners.begin(), owners.end()};
}

TEST_CASE("a policy with a group size or number of owners of 0 is refused") {
    const auto map = map_without_shared_servers(1, 2);
    CHECK_FALSE(ownership_table::create(map, instances(2), {owner_mode::owned, 0, 2}));
    CHECK_FALSE(ownership_table::create(map, instances(2), {owner_mode::owned, 14, 0}));
}

TEST_CASE("consecutive shards of a service are grouped, shards of different services are not") {
    const auto ownership = table(map_without_shared_servers(2, 30), instances(9));
    REQUIRE(ownership.groups().size() == 6);
    CHECK(ownership.groups()[0].shards.size() == 14);
    CHECK(ownership.groups()[2].shards.size() == 2);
    CHECK(ownership.groups()[0].servers.size() == 28);
    CHECK(ownership.group_of(shard("s0", 13)) == 0U);
    CHECK(ownership.group_of(shard("s0", 14)) == 1U);
    CHECK(ownership.group_of(shard("s1", 0)) == 3U);
    CHECK_FALSE(ownership.group_of(shard("s9", 0)));
}

TEST_CASE("shards that share a backend server are in one group, even of different services") {
    const auto server_id_of = [](const char* name) { return server_id::trusted(name); };
    const auto service_id_of = [](const char* text) { return model::service_id::trusted(text); };
    const auto map =
        model::shard_map::create(
            {1},
            {{service_id_of("x"),
              "",
              {{shard("x", 0).shard, {server_id_of("a")}},
               {shard("x", 1).shard, {server_id_of("b")}},
               {shard("x", 2).shard, {server_id_of("a"), server_id_of("c")}}}},
             {service_id_of("y"),
              "",
              {{shard("y", 0).shard, {server_id_of("c")}},
               {shard("y", 1).shard, {server_id_of("d")}}}}},
            {server("a", 2, 9), server("b", 2, 9), server("c", 2, 9), server("d", 2, 9)})
            .value();
    const auto ownership = table(map, instances(3), {owner_mode::owned, 1, 1});
    CHECK(ownership.group_of(shard("x", 0)) == ownership.group_of(shard("x", 2)));
    CHECK(ownership.group_of(shard("x", 0)) == ownership.group_of(shard("y", 0)));
    CHECK(ownership.group_of(shard("x", 0)) != ownership.group_of(shard("x", 1)));
    std::multiset<server_id> seen;
    for (const auto& group : ownership.groups()) {
        seen.insert(group.servers.begin(), group.servers.end());
    }
    CHECK(seen.size() == 4);
}

TEST_CASE("an owner gets an equal quota, and the connections stay within the limit") {
    const auto map = map_without_shared_servers(1, 14);
    const auto ownership = table(map, instances(10));
    const auto owners = owner_list(ownership, 0);
    REQUIRE(owners.size() == 2);
    const auto first_server = server_id::trusted("s0-0a");
    CHECK(ownership.quota_of(owners[0], first_server) == server_quota{1, 18});
    const auto server_entry =
        std::find_if(map.servers().begin(), map.servers().end(),
                     [&](const auto& it) { return it.first == first_server; });
    CHECK(server_entry->second.connections >= 18 * 3);
    CHECK_FALSE(ownership.quota_of(instance_id::trusted("nobody"), first_server));
    CHECK_FALSE(ownership.quota_of(owners[0], server_id::trusted("unknown")));
}

TEST_CASE("in owned mode there are no more owners than slots, since each needs one") {
    const auto ownership =
        table(map_without_shared_servers(1, 3, 2), instances(9), {owner_mode::owned, 14, 5});
    CHECK(ownership.owners(0).size() == 2);
}

TEST_CASE("in direct mode every working instance owns every group") {
    const auto view = with_status(instances(17), "i3", instance_status::leaving);
    const auto ownership =
        table(map_without_shared_servers(2, 3), view, {owner_mode::direct, 14, 2});
    CHECK(ownership.owners(0).size() == 16);
    CHECK(ownership.servers_of(instance_id::trusted("i4")).size() == 12);
    CHECK(ownership.servers_of(instance_id::trusted("i3")).empty());
    CHECK(ownership.quota_of(instance_id::trusted("i4"), server_id::trusted("s0-0a")) ==
          server_quota{1, 3});
}

TEST_CASE("without a working instance there are no owners") {
    const auto ownership = table(map_without_shared_servers(1, 3), {});
    CHECK(ownership.owners(0).empty());
    CHECK(ownership.owners_of(shard("s0", 1)).empty());
}

TEST_CASE("a suspect instance keeps its groups; a leaving or failed one loses them") {
    const auto map = map_without_shared_servers(4, 28);
    const auto view = instances(6);
    const auto before = table(map, view);
    const auto id = instance_id::trusted("i2");
    REQUIRE_FALSE(before.groups_of(id).empty());
    CHECK(before.with_view(with_status(view, "i2", instance_status::suspect)) == before);
    for (const auto status : {instance_status::leaving, instance_status::failed}) {
        CHECK(before.with_view(with_status(view, "i2", status)).groups_of(id).empty());
    }
}

TEST_CASE(
    "when an instance fails, only its groups change owners, and the other owner comes first") {
    const auto map = map_without_shared_servers(10, 140);
    const auto view = instances(40);
    const auto before = table(map, view);
    for (const auto* const name : {"i0", "i17", "i39"}) {
        const auto id = instance_id::trusted(name);
        const auto after = before.with_view(with_status(view, name, instance_status::failed));
        const auto owned = before.groups_of(id);
        std::vector<std::size_t> changed_groups;
        for (std::size_t n = 0; n < before.groups().size(); ++n) {
            if (owner_list(before, n) != owner_list(after, n)) {
                changed_groups.push_back(n);
            }
        }
        CHECK(changed_groups == owned);
        for (const auto n : owned) {
            auto kept = owner_list(before, n);
            kept.erase(std::find(kept.begin(), kept.end(), id));
            CHECK(owner_list(after, n).front() == kept.front());
        }
        CHECK(after.with_view(view) == before);
    }
}

TEST_CASE("an incremental update gives the same table as a full computation") {
    const auto map = map_without_shared_servers(5, 100);
    auto view = instances(30);
    auto changed = table(map, view);
    for (int step = 0; step < 200; ++step) {
        auto& info = view.instances.at(instance_id::trusted("i" + std::to_string(step * 7 % 30)));
        info.status = info.status == instance_status::alive ? instance_status::failed
                                                            : instance_status::alive;
        changed = changed.with_view(view);
        REQUIRE(changed == table(map, view));
    }
}

TEST_CASE("groups are distributed evenly: each instance owns 200 to 360 at a mean of 280") {
    const auto ownership =
        table(map_without_shared_servers(20, 140), instances(20), {owner_mode::owned, 1, 2});
    for (int n = 0; n < 20; ++n) {
        const auto owned =
            ownership.groups_of(instance_id::trusted("i" + std::to_string(n))).size();
        CHECK(owned > 200);
        CHECK(owned < 360);
    }
}

}  // namespace
}  // namespace poplarfront::membership
