#pragma once

#include <memory>
#include <set>

#include "configuration/configuration_snapshot.h"
#include "kernel/published.h"
#include "membership/ownership_table.h"
#include "model/instance_view.h"

namespace poplarfront::daemon {

/// What traffic threads need of the control state, as of one moment. Immutable.
struct tier_state {
    /// Never null; revision 0 if no configuration is known.
    std::shared_ptr<const configuration::configuration_snapshot> configuration =
        std::make_shared<const configuration::configuration_snapshot>();
    model::instance_view instances;
    membership::ownership_table ownership;
    /// Backend servers that get no new work.
    std::set<model::server_id> draining;
    /// This instance is leaving and takes no new work.
    bool leaving = false;
    friend bool operator==(const tier_state&, const tier_state&) = default;
};

using published_tier_state = kernel::published<tier_state>;

}  // namespace poplarfront::daemon
