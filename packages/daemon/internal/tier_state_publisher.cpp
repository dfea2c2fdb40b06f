#include "daemon/tier_state_publisher.h"

#include <spdlog/spdlog.h>

namespace poplarfront::daemon {
void tier_state_publisher::on_configuration(snapshot_pointer snapshot) {
    const auto table = membership::ownership_table::create(snapshot->shard_map, current_.instances,
                                                           snapshot->policy.ownership);
    if (table) {
        current_.ownership = table.value();
    }
    current_.configuration = std::move(snapshot);
    spdlog::info("configuration revision {} is in force", current_.configuration->revision.value);
    publish();
    for (const auto& listener : configuration_listeners_) {
        listener(current_.configuration);
    }
}

void tier_state_publisher::on_instances(model::instance_view view) {
    current_.ownership = current_.ownership.with_view(view);
    current_.instances = std::move(view);
    publish();
    for (const auto& listener : instances_listeners_) {
        listener(current_.instances);
    }
}

void tier_state_publisher::on_draining(const std::vector<model::server_id>& servers) {
    seen_draining_ = {servers.begin(), servers.end()};
    publish();
}

void tier_state_publisher::publish() {
    current_.draining = seen_draining_;
    const auto& leaving = current_.configuration->leaving;
    current_.draining.insert(leaving.servers.begin(), leaving.servers.end());
    const auto* self = current_.instances.find(self_);
    current_.leaving = (self != nullptr && self->status == model::instance_status::leaving) ||
                       leaving.instances.contains(self_);
    published_.publish(current_);
}

}  // namespace poplarfront::daemon
