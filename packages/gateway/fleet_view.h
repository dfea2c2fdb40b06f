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

/// The backend servers of one service that may get new requests.
using backend_list = std::vector<std::shared_ptr<const backend_entry>>;

/// What the control thread tells the traffic threads: the configuration in force and the backend
/// servers in use. Immutable.
struct fleet_view {
    /// Null until a configuration is known.
    std::shared_ptr<const gateway_configuration> configuration;
    route_index routes;
    std::map<model::service_id, backend_list> backends;
    /// Instances that share the backend servers with this one, itself included. At least 1.
    std::uint32_t instances = 1;
    /// Instances that gather for this one; empty if it gathers for itself.
    std::vector<registered_instance> delegates;
    /// Services that are shards of a gather. Null until a configuration is known.
    std::shared_ptr<const std::set<model::service_id>> shards;
    /// Part of the common limits of shards that this instance may use.
    double shard_share = 1;
    /// Whether the store was reached lately, so that the configuration is the newest one.
    bool store_reached = false;

    /// Part of the common limits of a service that this instance may use.
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
