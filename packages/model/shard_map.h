#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

#include "model/search.h"

namespace poplarfront::model {

/// A backend server as described in the configuration section `shards`.
struct server_info {
    server_id server;
    /// IP:PORT
    std::string address;
    data_centre_id data_centre;
    /// Maximum number of requests that the backend server executes concurrently, over all
    /// instances.
    std::uint32_t slots = 2;
    /// Maximum number of connections that the backend server accepts, over all instances.
    std::uint32_t connections = 55;
    friend auto operator<=>(const server_info&, const server_info&) = default;
};

/// One shard with the backend servers that hold it.
struct shard_info {
    shard_id shard;
    std::vector<server_id> replicas;
    friend auto operator<=>(const shard_info&, const shard_info&) = default;
};

/// A service with all its shards, in the order of the configuration section.
struct service_info {
    service_id service;
    /// The group of services that are searched together; empty if the service is in no group.
    std::string group;
    std::vector<shard_info> shards;
    friend auto operator<=>(const service_info&, const service_info&) = default;
};

/// Which shards exist and which backend servers hold them, at one revision. Immutable.
class shard_map {
public:
    /// An empty map of revision 0.
    shard_map() = default;

    /// Errors: model_error if a replica is not a known backend server, a shard has no or repeated
    /// replicas, or a service, shard or backend server is defined twice.
    static kernel::result<shard_map> create(revision map_revision,
                                            std::vector<service_info> services,
                                            std::vector<server_info> servers);

    [[nodiscard]] revision map_revision() const { return revision_; }
    /// Null if the service is unknown. Valid while this map lives.
    [[nodiscard]] const service_info* find_service(const service_id& id) const;
    /// Null if the shard is unknown. Valid while this map lives.
    [[nodiscard]] const shard_info* find_shard(const shard_ref& ref) const;
    /// Null if the backend server is unknown. Valid while this map lives.
    [[nodiscard]] const server_info* find_server(const server_id& id) const;
    [[nodiscard]] const std::map<service_id, service_info>& services() const { return services_; }
    [[nodiscard]] const std::map<server_id, server_info>& servers() const { return servers_; }
    /// The services of a group; empty if the group is unknown.
    [[nodiscard]] std::vector<service_id> services_of_group(const std::string& group) const;
    /// All shards of the services, sorted. Precondition: the services are known.
    [[nodiscard]] std::vector<shard_ref> shards_of(std::span<const service_id> services) const;

    friend bool operator==(const shard_map&, const shard_map&) = default;

private:
    revision revision_;
    std::map<service_id, service_info> services_;
    std::map<server_id, server_info> servers_;
};

}  // namespace poplarfront::model
