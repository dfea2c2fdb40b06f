#include <boost/json.hpp>
#include <memory>

#include "daemon/instance_identity.h"
#include "daemon/tier_state_publisher.h"
#include "kernel/module_registration.h"
#include "kernel/readiness.h"
#include "kernel/state_registry.h"

namespace poplarfront::daemon {
namespace {

std::string to_json(const tier_state& state) {
    boost::json::object instances;
    for (const auto& [id, info] : state.instances.instances) {
        instances.emplace(id.text(),
                          boost::json::object{{"status", to_string(info.status)},
                                              {"data_centre", info.data_centre.text()},
                                              {"incarnation", info.incarnation_number.value}});
    }
    boost::json::array draining;
    for (const auto& id : state.draining) {
        draining.emplace_back(id.text());
    }
    return boost::json::serialize(boost::json::object{
        {"revision", state.configuration->revision.value},
        {"shard_map_revision", state.configuration->shard_map.map_revision().value},
        {"shard_groups", state.ownership.groups().size()},
        {"leaving", state.leaving},
        {"instances", std::move(instances)},
        {"draining", std::move(draining)},
    });
}

/// Provides the published control state.
class tier_state_module {
public:
    static kernel::module_descriptor descriptor() {
        return {"tier_state", {"runtime", "instance"}, {}, {"search"}};
    }

    static kernel::result<std::shared_ptr<tier_state_module>> create(
        kernel::module_context& context) {
        const auto identity = context.require<const instance_identity>();
        auto publisher = std::make_shared<tier_state_publisher>(identity->instance);
        context.provide(publisher);
        context.require<kernel::state_registry>()->add(
            "tier", [publisher] { return to_json(*publisher->state().read()); });
        context.require<kernel::readiness>()->add(
            [publisher] { return !publisher->state().read()->leaving; });
        return std::make_shared<tier_state_module>();
    }

    kernel::result<void> start() { return {}; }
    void stop() {}
};

const kernel::module_registration<tier_state_module> registration;

}  // namespace
}  // namespace poplarfront::daemon
