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

/// Services with `shards` shards, each on two backend servers of its own.
model::shard_map separate_map(std::size_t services, std::size_t shards, std::uint32_t slots = 2) {
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

TEST_CASE("a policy without group size or owners is refused") {
    const auto map = separate_map(1, 2);
    CHECK_FALSE(ownership_table::create(map, instances(2), {owner_mode::owned, 0, 2}));
    CHECK_FALSE(ownership_table::create(map, instances(2), {owner_mode::owned, 14, 0}));
}

TEST_CASE("consecutive shards of a service are grouped, never those of two services") {
    const auto made = table(separate_map(2, 30), instances(9));
    REQUIRE(made.groups().size() == 6);
    CHECK(made.groups()[0].shards.size() == 14);
    CHECK(made.groups()[2].shards.size() == 2);
    CHECK(made.groups()[0].servers.size() == 28);
    CHECK(made.group_of(shard("s0", 13)) == 0U);
    CHECK(made.group_of(shard("s0", 14)) == 1U);
    CHECK(made.group_of(shard("s1", 0)) == 3U);
    CHECK_FALSE(made.group_of(shard("s9", 0)));
}

TEST_CASE("shards that share a backend server are in one group, over services too") {
    const auto id = [](const char* name) { return server_id::trusted(name); };
    const auto name = [](const char* text) { return model::service_id::trusted(text); };
    const auto map =
        model::shard_map::create(
            {1},
            {{name("x"),
              "",
              {{shard("x", 0).shard, {id("a")}},
               {shard("x", 1).shard, {id("b")}},
               {shard("x", 2).shard, {id("a"), id("c")}}}},
             {name("y"), "", {{shard("y", 0).shard, {id("c")}}, {shard("y", 1).shard, {id("d")}}}}},
            {server("a", 2, 9), server("b", 2, 9), server("c", 2, 9), server("d", 2, 9)})
            .value();
    const auto made = table(map, instances(3), {owner_mode::owned, 1, 1});
    CHECK(made.group_of(shard("x", 0)) == made.group_of(shard("x", 2)));
    CHECK(made.group_of(shard("x", 0)) == made.group_of(shard("y", 0)));
    CHECK(made.group_of(shard("x", 0)) != made.group_of(shard("x", 1)));
    std::multiset<server_id> seen;
    for (const auto& group : made.groups()) {
        seen.insert(group.servers.begin(), group.servers.end());
    }
    CHECK(seen.size() == 4);
}

TEST_CASE("every owner gets its exact part and the parts stay within the limits") {
    const auto map = separate_map(1, 14);
    const auto made = table(map, instances(10));
    const auto owners = owner_list(made, 0);
    REQUIRE(owners.size() == 2);
    const auto one = server_id::trusted("s0-0a");
    CHECK(made.quota_of(owners[0], one) == server_quota{1, 18});
    const auto other = std::find_if(map.servers().begin(), map.servers().end(),
                                    [&](const auto& it) { return it.first == one; });
    CHECK(other->second.connections >= 18 * 3);
    CHECK_FALSE(made.quota_of(instance_id::trusted("nobody"), one));
    CHECK_FALSE(made.quota_of(owners[0], server_id::trusted("unknown")));
}

TEST_CASE("there are never more owners than slots, since each needs one") {
    const auto made = table(separate_map(1, 3, 2), instances(9), {owner_mode::owned, 14, 5});
    CHECK(made.owners(0).size() == 2);
}

TEST_CASE("in direct mode every working instance owns everything") {
    const auto view = with_status(instances(17), "i3", instance_status::leaving);
    const auto made = table(separate_map(2, 3), view, {owner_mode::direct, 14, 2});
    CHECK(made.owners(0).size() == 16);
    CHECK(made.servers_of(instance_id::trusted("i4")).size() == 12);
    CHECK(made.servers_of(instance_id::trusted("i3")).empty());
    CHECK(made.quota_of(instance_id::trusted("i4"), server_id::trusted("s0-0a")) ==
          server_quota{1, 3});
}

TEST_CASE("without a working instance there are no owners") {
    const auto made = table(separate_map(1, 3), {});
    CHECK(made.owners(0).empty());
    CHECK(made.owners_of(shard("s0", 1)).empty());
}

TEST_CASE("a suspect instance keeps its groups; a leaving or failed one loses them") {
    const auto map = separate_map(4, 28);
    const auto view = instances(6);
    const auto before = table(map, view);
    const auto id = instance_id::trusted("i2");
    REQUIRE_FALSE(before.groups_of(id).empty());
    CHECK(before.with_view(with_status(view, "i2", instance_status::suspect)) == before);
    for (const auto gone : {instance_status::leaving, instance_status::failed}) {
        CHECK(before.with_view(with_status(view, "i2", gone)).groups_of(id).empty());
    }
}

TEST_CASE("when one instance goes only its groups move, and each gets one new owner") {
    const auto map = separate_map(10, 140);
    const auto view = instances(40);
    const auto before = table(map, view);
    for (const auto* const name : {"i0", "i17", "i39"}) {
        const auto id = instance_id::trusted(name);
        const auto after = before.with_view(with_status(view, name, instance_status::failed));
        const auto owned = before.groups_of(id);
        std::vector<std::size_t> moved;
        for (std::size_t n = 0; n < before.groups().size(); ++n) {
            if (owner_list(before, n) != owner_list(after, n)) {
                moved.push_back(n);
            }
        }
        CHECK(moved == owned);
        for (const auto n : owned) {
            auto kept = owner_list(before, n);
            kept.erase(std::find(kept.begin(), kept.end(), id));
            CHECK(owner_list(after, n).front() == kept.front());
        }
        CHECK(after.with_view(view) == before);
    }
}

TEST_CASE("an incremental change gives the table that a full computation gives") {
    const auto map = separate_map(5, 100);
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

TEST_CASE("groups are spread evenly, so no instance owns a multiple of its share") {
    const auto made = table(separate_map(20, 140), instances(20), {owner_mode::owned, 1, 2});
    for (int n = 0; n < 20; ++n) {
        const auto owned = made.groups_of(instance_id::trusted("i" + std::to_string(n))).size();
        CHECK(owned > 200);
        CHECK(owned < 360);
    }
}

}  // namespace
}  // namespace poplarfront::membership
