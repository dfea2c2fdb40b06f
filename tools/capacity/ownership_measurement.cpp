#include <algorithm>

#include "capacity/heap.h"
#include "capacity/measurement.h"
#include "membership/ownership_table.h"

namespace poplarfront::capacity {
namespace {

constexpr double seconds_a_day = 86400;
constexpr std::uint64_t shards_per_service = 280;
constexpr membership::ownership_policy policy{membership::owner_mode::owned, 14, 2};
// One replaced instance is removed from the view once and added to it once.
constexpr double view_changes_per_replacement = 2;

/// Services with 280 shards, each on two backend servers of its own.
model::shard_map make_map(std::uint64_t servers) {
    std::vector<model::service_info> services;
    std::vector<model::server_info> list;
    for (std::uint64_t n = 0; n < servers / 2; ++n) {
        if (n % shards_per_service == 0) {
            const auto name = "service-" + std::to_string(services.size());
            services.push_back({model::service_id::trusted(name), "", {}});
        }
        model::shard_info shard{model::shard_id::trusted(std::to_string(n)), {}};
        for (const auto* const replica : {"a", "b"}) {
            const auto id = model::server_id::trusted("server-" + std::to_string(n) + replica);
            list.push_back({id, "10.0.0.1:80", model::data_centre_id::trusted("howrah")});
            shard.replicas.push_back(id);
        }
        services.back().shards.push_back(std::move(shard));
    }
    return model::shard_map::create({1}, std::move(services), std::move(list)).value();
}

model::instance_view make_view(std::uint64_t instances) {
    model::instance_view view;
    for (std::uint64_t n = 0; n < instances; ++n) {
        const auto id = model::instance_id::trusted("poplarfront-" + std::to_string(n));
        view.instances.emplace(id, model::instance_info{id});
    }
    return view;
}

/// The mean time of a change of the view, with each of some instances gone and back.
double view_change_seconds(const membership::ownership_table& table, model::instance_view view,
                           std::uint64_t instances) {
    constexpr std::uint64_t repeats = 25;
    auto current = table;
    double total = 0;
    for (std::uint64_t n = 0; n < repeats; ++n) {
        const auto name = "poplarfront-" + std::to_string(n * 7 % instances);
        auto& status = view.instances.at(model::instance_id::trusted(name)).status;
        for (const auto next : {model::instance_status::failed, model::instance_status::alive}) {
            status = next;
            const auto before = processor_seconds();
            current = current.with_view(view);
            total += processor_seconds() - before;
        }
    }
    return total / (2.0 * repeats);
}

/// The groups that get another owner when one instance goes, beyond those that it owned.
double excess_moves(const membership::ownership_table& table, model::instance_view view) {
    const auto id = view.instances.begin()->first;
    view.instances.begin()->second.status = model::instance_status::failed;
    const auto after = table.with_view(view);
    double moved = 0;
    for (std::size_t n = 0; n < table.groups().size(); ++n) {
        const auto a = table.owners(n);
        const auto b = after.owners(n);
        moved += std::equal(a.begin(), a.end(), b.begin(), b.end()) ? 0 : 1;
    }
    return moved - static_cast<double>(table.groups_of(id).size());
}

void measure(std::uint64_t servers, std::uint64_t instances, const capacity_options& options,
             std::vector<sample>& samples) {
    const auto map = make_map(servers);
    const auto view = make_view(instances);
    const auto heap_before = heap_bytes();
    const auto before = processor_seconds();
    const auto table = membership::ownership_table::create(map, view, policy).value();
    const auto create_seconds = processor_seconds() - before;
    const auto heap = static_cast<double>(heap_bytes() - heap_before);
    const auto change_seconds = view_change_seconds(table, view, instances);
    const auto excess = excess_moves(table, view);
    for (const auto changes : options.changes) {
        const auto per_second =
            static_cast<double>(changes) * view_changes_per_replacement / seconds_a_day;
        samples.push_back({{{"instances", static_cast<double>(instances)},
                            {"servers", static_cast<double>(servers)},
                            {"changes_per_day", static_cast<double>(changes)}},
                           {{"groups", static_cast<double>(table.groups().size())},
                            {"create_ms", create_seconds * 1000},
                            {"with_view_ms", change_seconds * 1000},
                            {"cpu_s_per_s", change_seconds * per_second},
                            {"heap_bytes", heap},
                            {"excess_moves", excess}}});
    }
}

std::vector<sample> run(const capacity_options& options) {
    std::vector<sample> samples;
    for (const auto servers : options.servers) {
        for (const auto instances : options.instances) {
            measure(servers, instances, options, samples);
        }
    }
    return samples;
}

const kernel::extension_point<measurement>::registration registered{
    {"ownership_table",
     "per instance, owned mode, groups of 14 shards with 2 owners; no messages are sent",
     {"instances", "servers", "instances*servers", "changes_per_day*instances"},
     run}};

}  // namespace
}  // namespace poplarfront::capacity
