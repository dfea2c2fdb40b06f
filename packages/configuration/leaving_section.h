#pragma once

#include <set>
#include <string_view>

#include "configuration/section_error.h"
#include "kernel/result.h"
#include "model/identifier.h"

namespace poplarfront::configuration {

/// The `leaving` section: instances and backend servers that are being removed and get no new work.
struct leaving {
    std::set<model::instance_id> instances;
    std::set<model::server_id> servers;
    friend auto operator<=>(const leaving&, const leaving&) = default;
};

/// Parses the `leaving` section. Accepts names that no other section contains, because a backend
/// server may be removed from the `shards` section first.
///
///     [instances]
///     NAME = leaving
///
///     [backend servers]
///     NAME = leaving
///
/// Errors: section_error with line, key and reason.
kernel::result<leaving> parse_leaving(std::string_view text);

}  // namespace poplarfront::configuration
