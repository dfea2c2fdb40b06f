#include <array>
#include <cstdint>

#include "capacity/measurement.h"
#include "membership/ownership_table.h"

namespace poplarfront::capacity {
namespace {

constexpr std::uint64_t measured_servers = 560;
constexpr std::uint32_t group_size = 14;

/// One service whose shards have two backend servers each.
model::shard_map make_map() {
    model::service_info service{model::service_id::trusted("service-0"), "", {}};
    std::vector<model::server_info> servers;
    for (std::uint64_t n = 0; n < measured_servers / 2; ++n) {
        model::shard_info shard{model::shard_id::trusted(std::to_string(n)), {}};
        for (const auto* const replica : {"a", "b"}) {
            const auto id = model::server_id::trusted("server-" + std::to_string(n) + replica);
            servers.push_back({id, "10.0.0.1:80", model::data_centre_id::trusted("howrah")});
            shard.replicas.push_back(id);
        }
        service.shards.push_back(std::move(shard));
    }
    return model::shard_map::create({1}, {std::move(service)}, std::move(servers)).value();
}

model::instance_view make_view(std::uint64_t instances) {
    model::instance_view view;
    for (std::uint64_t n = 0; n < instances; ++n) {
        const auto id = model::instance_id::trusted("poplarfront-" + std::to_string(n));
        view.instances.emplace(id, model::instance_info{id});
    }
    return view;
}

/// Adds up the parts of all instances of the first backend server, with the section's defaults of
/// 2 slots and 55 connections.
sample measure(membership::owner_mode mode, std::uint32_t owners, std::uint64_t instances) {
    const auto map = make_map();
    const auto view = make_view(instances);
    const auto table =
        membership::ownership_table::create(map, view, {mode, group_size, owners}).value();
    const auto server = map.servers().begin()->first;
    double users = 0;
    double connections = 0;
    double slots = 0;
    for (const auto& [id, info] : view.instances) {
        if (const auto part = table.quota_of(id, server)) {
            users += 1;
            connections += part->connections;
            slots += part->slots;
        }
    }
    return {{{"owned", mode == membership::owner_mode::owned ? 1.0 : 0.0},
             {"owners_per_group", static_cast<double>(owners)},
             {"instances", static_cast<double>(instances)}},
            {{"users_per_server", users},
             {"connections_per_server", connections},
             {"slots_per_server", slots}}};
}

std::vector<sample> run(const capacity_options& options) {
    constexpr std::array<std::uint32_t, 3> owner_counts{1, 2, 4};
    std::vector<sample> samples;
    for (const auto instances : options.instances) {
        samples.push_back(measure(membership::owner_mode::direct, 2, instances));
        for (const auto owners : owner_counts) {
            samples.push_back(measure(membership::owner_mode::owned, owners, instances));
        }
    }
    return samples;
}

const kernel::extension_point<measurement>::registration registered{
    {"connections",
     "instances, connections and slots that one backend server with 55 connections and 2 slots "
     "sees",
     {},
     run}};

}  // namespace
}  // namespace poplarfront::capacity
