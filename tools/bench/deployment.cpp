#include "bench/deployment.h"

#include <cmath>

namespace poplarfront::bench {

std::vector<workload> workloads() {
    workload inspection{.name = "richelieu/inspection"};
    workload billing{.name = "richelieu/billing",
                     .shape = placement::ring,
                     .shards = 8,
                     .servers = 8,
                     .connections = 230,
                     .connect_ms = 1};
    workload shed_desk{.name = "bengal/shed-desk", .data_centres = 3, .between_data_centres_ms = 1};
    workload pole_history{.name = "bengal/pole-history",
                          .shape = placement::ring,
                          .shards = 5,
                          .servers = 5,
                          .slots = 6,
                          .connections = 100,
                          .connect_ms = 1,
                          .data_centres = 3,
                          .between_data_centres_ms = 1};
    return {inspection, billing, shed_desk, pole_history};
}

double capacity_per_s(const workload& work) {
    constexpr double ms_per_s = 1000;
    const double mean_ms = work.median_ms * std::exp(work.sigma * work.sigma / 2);
    return ms_per_s * work.servers * work.slots / (work.shards * mean_ms);
}

model::shard_map make_map(const workload& work, std::uint64_t revision) {
    std::vector<model::server_info> servers;
    for (int it = 0; it < work.servers; ++it) {
        const auto n = std::to_string(it);
        servers.push_back(
            {model::server_id::trusted("b" + n), "", {}, work.slots, work.connections});
    }
    const int count = revision == 1 ? work.shards : work.shards - 1;
    model::service_info service{model::service_id::trusted("s"), "", {}};
    for (int it = 0; it < count; ++it) {
        const bool ring = work.shape == placement::ring;
        const auto first = ring ? it : 2 * it;
        const auto second = (first + 1) % work.servers;
        service.shards.push_back({model::shard_id::trusted(std::to_string(it)),
                                  {servers[static_cast<std::size_t>(first)].server,
                                   servers[static_cast<std::size_t>(second)].server}});
    }
    return *model::shard_map::create({revision}, {service}, servers);
}

}  // namespace poplarfront::bench
