#pragma once

#include <functional>
#include <memory>
#include <set>
#include <vector>

#include "daemon/tier_state.h"

namespace poplarfront::daemon {

/// Combines configuration and membership into the published tier_state.
///
/// Thread safety: `listen` functions are called while modules are created, the rest on the control
/// thread; the published state may be read on any thread.
class tier_state_publisher {
public:
    using snapshot_pointer = std::shared_ptr<const configuration::configuration_snapshot>;
    using instances_listener = std::function<void(const model::instance_view&)>;
    using configuration_listener = std::function<void(const snapshot_pointer&)>;

    explicit tier_state_publisher(model::instance_id self) : self_(std::move(self)) {}

    [[nodiscard]] const published_tier_state& state() const { return published_; }

    void listen(instances_listener listener) {
        instances_listeners_.push_back(std::move(listener));
    }
    void listen(configuration_listener listener) {
        configuration_listeners_.push_back(std::move(listener));
    }

    void on_configuration(snapshot_pointer snapshot);
    void on_instances(model::instance_view view);
    /// Takes the backend servers that owners saw draining.
    void on_draining(const std::vector<model::server_id>& servers);

private:
    void publish();

    model::instance_id self_;
    tier_state current_;
    std::set<model::server_id> seen_draining_;
    published_tier_state published_{tier_state{}};
    std::vector<instances_listener> instances_listeners_;
    std::vector<configuration_listener> configuration_listeners_;
};

}  // namespace poplarfront::daemon
