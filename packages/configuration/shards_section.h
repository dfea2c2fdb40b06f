#pragma once

#include <string_view>

#include "configuration/section_error.h"
#include "kernel/result.h"
#include "model/shard_map.h"

namespace poplarfront::configuration {

/// Parses the `shards` section:
///
///     [server NAME]
///     address = IP:PORT
///     data_centre = NAME
///     slots = 2
///     connections = 55
///
///     [service NAME]
///     group = NAME
///     shard.ID = SERVER SERVER ...
///
/// The result has revision `revision`. The syntax of addresses and data centres is not checked.
/// Errors: section_error with line, key and reason.
kernel::result<model::shard_map> parse_shards(std::string_view text, model::revision revision);

}  // namespace poplarfront::configuration
