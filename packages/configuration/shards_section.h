#pragma once

#include <string>
#include <string_view>

#include "kernel/result.h"
#include "model/shard_map.h"

namespace poplarfront::configuration {

/// Why a section is refused. `line` is 0 if no line is to blame.
struct section_error {
    std::string section;
    int line = 0;
    std::string key;
    std::string reason;
    friend auto operator<=>(const section_error&, const section_error&) = default;
};

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
/// Errors: section_error with line, key and reason.
kernel::result<model::shard_map> parse_shards(std::string_view text, model::revision revision);

}  // namespace poplarfront::configuration
