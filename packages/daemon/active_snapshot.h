#pragma once

#include <memory>

#include "kernel/published.h"
#include "model/shard_map.h"

namespace poplarfront::daemon {

/// The shard map in force, replaced by the control thread.
using published_shard_map = kernel::published<model::shard_map>;

}  // namespace poplarfront::daemon
