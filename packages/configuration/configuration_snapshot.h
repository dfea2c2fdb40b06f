#pragma once

#include "configuration/leaving_section.h"
#include "configuration/policy_section.h"
#include "configuration/shares_section.h"
#include "model/shard_map.h"

namespace poplarfront::configuration {

/// The parsed configuration at one document revision; revision 0 if no configuration is known yet.
/// Immutable.
struct configuration_snapshot {
    model::revision revision;
    /// Its revision is that of the shards section.
    model::shard_map shard_map;
    configuration::shares shares;
    configuration::leaving leaving;
    configuration::policy policy;
    friend bool operator==(const configuration_snapshot&, const configuration_snapshot&) = default;
};

}  // namespace poplarfront::configuration
