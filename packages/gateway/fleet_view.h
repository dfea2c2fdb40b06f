#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <vector>

#include "gateway/backend_entry.h"
#include "gateway/gateway_configuration.h"
#include "gateway/registered_instance.h"
#include "gateway/route_index.h"

namespace poplarfront::gateway {

/// The backend servers of one service that accept new requests.
using backend_list = std::vector<std::shared_ptr<const backend_entry>>;

/// State that the control thread publishes to the traffic threads: the current configuration and
/// the backend servers in use. Immutable.
struct fleet_view {
    /// Null until a configuration is known.
    std::shared_ptr<const gateway_configuration> configuration;
    route_index routes;
    std::map<model::service_id, backend_list> backends;
    /// Number of instances that share the backend servers, including this one. At least 1.
    std::uint32_t instances = 1;
    /// Instances that run gathers for this one; empty if it runs its gathers itself.
    std::vector<registered_instance> delegates;
    /// Services that are shards of at least one gather. Null until a configuration is known.
    std::shared_ptr<const std::set<model::service_id>> shards;
    /// Fraction of the common limits of a shard that this instance may use. Common limits are those
    /// that all instances share for each service: on connections to a backend server and on extra
    /// requests.
    double shard_share = 1;
    /// Whether the store was reached at the last attempt, directly or through an instance that
    /// reads it, so that the configuration is the newest one.
    bool store_reached = false;

    /// Fraction of the common limits of a service that this instance may use.
    [[nodiscard]] double share_of(const model::service_id& service) const {
        return shards != nullptr && shards->contains(service) ? shard_share : 1.0 / instances;
    }

    /// The backend servers of a service; empty if none is known.
    [[nodiscard]] const backend_list& backends_of(const model::service_id& service) const {
        static const backend_list none;
        const auto it = backends.find(service);
        return it == backends.end() ? none : it->second;
    }
};

}  // namespace poplarfront::gateway
