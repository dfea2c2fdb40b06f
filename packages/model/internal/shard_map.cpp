#include "model/shard_map.h"

#include <algorithm>

namespace poplarfront::model {
namespace {

kernel::result<void> check_service(const service_info& service,
                                   const std::map<server_id, server_info>& servers) {
    std::set<shard_id> seen;
    for (const auto& shard : service.shards) {
        const auto name = service.service.text() + " shard " + shard.shard.text();
        if (!seen.insert(shard.shard).second) {
            return boost::leaf::new_error(model_error{name + " is defined twice"});
        }
        if (shard.replicas.empty()) {
            return boost::leaf::new_error(model_error{name + " has no replica"});
        }
        std::set<server_id> replicas;
        for (const auto& replica : shard.replicas) {
            if (!servers.contains(replica)) {
                return boost::leaf::new_error(model_error{name + " names the backend server " +
                                                          replica.text() +
                                                          ", which does not exist"});
            }
            if (!replicas.insert(replica).second) {
                return boost::leaf::new_error(
                    model_error{name + " names the backend server " + replica.text() + " twice"});
            }
        }
    }
    return {};
}

}  // namespace

kernel::result<shard_map> shard_map::create(revision map_revision,
                                            std::vector<service_info> services,
                                            std::vector<server_info> servers) {
    shard_map map;
    map.revision_ = map_revision;
    for (auto& server : servers) {
        const auto id = server.server;
        if (!map.servers_.emplace(id, std::move(server)).second) {
            return boost::leaf::new_error(
                model_error{"backend server " + id.text() + " is defined twice"});
        }
    }
    for (auto& service : services) {
        BOOST_LEAF_CHECK(check_service(service, map.servers_));
        const auto id = service.service;
        if (!map.services_.emplace(id, std::move(service)).second) {
            return boost::leaf::new_error(
                model_error{"service " + id.text() + " is defined twice"});
        }
    }
    return map;
}

const service_info* shard_map::find_service(const service_id& id) const {
    const auto it = services_.find(id);
    return it == services_.end() ? nullptr : &it->second;
}

const shard_info* shard_map::find_shard(const shard_ref& ref) const {
    const auto* service = find_service(ref.service);
    if (service == nullptr) {
        return nullptr;
    }
    const auto it = std::find_if(service->shards.begin(), service->shards.end(),
                                 [&](const auto& shard) { return shard.shard == ref.shard; });
    return it == service->shards.end() ? nullptr : &*it;
}

const server_info* shard_map::find_server(const server_id& id) const {
    const auto it = servers_.find(id);
    return it == servers_.end() ? nullptr : &it->second;
}

std::vector<service_id> shard_map::services_of_group(const std::string& group) const {
    std::vector<service_id> found;
    for (const auto& [id, service] : services_) {
        if (!group.empty() && service.group == group) {
            found.push_back(id);
        }
    }
    return found;
}

std::vector<shard_ref> shard_map::shards_of(std::span<const service_id> services) const {
    std::vector<shard_ref> refs;
    for (const auto& id : services) {
        for (const auto& shard : services_.at(id).shards) {
            refs.push_back({id, shard.shard});
        }
    }
    std::sort(refs.begin(), refs.end());
    refs.erase(std::unique(refs.begin(), refs.end()), refs.end());
    return refs;
}

}  // namespace poplarfront::model
