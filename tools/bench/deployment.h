#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "kernel/concepts.h"
#include "model/shard_map.h"

namespace poplarfront::bench {

/// How the shards of a workload are placed on backend servers.
enum class placement {
    /// Each shard has backend servers of its own.
    own_servers,
    /// Backend server n holds shards n and n-1.
    ring,
};

/// One kind of search of an example deployment. Durations are in milliseconds; delays are one way.
struct workload {
    std::string name;
    placement shape = placement::own_servers;
    int shards = 20;
    int servers = 40;
    std::uint32_t slots = 2;
    std::uint32_t connections = 55;
    double connect_ms = 6;
    int instances = 17;
    int data_centres = 4;
    double between_data_centres_ms = 0.5;
    double to_clients_ms = 1;
    /// Of the log-normal distribution of execution times.
    double median_ms = 4;
    double sigma = 0.5;
    double deadline_ms = 250;

    friend auto operator<=>(const workload&, const workload&) = default;
};

/// The searches of both example deployments.
[[nodiscard]] std::vector<workload> workloads();

/// Searches a second at which all slots of the backend servers are busy.
[[nodiscard]] double capacity_per_s(const workload& work);

/// The shard map of a workload; revision 2 cuts the records into one shard less.
[[nodiscard]] model::shard_map make_map(const workload& work, std::uint64_t revision);

}  // namespace poplarfront::bench
