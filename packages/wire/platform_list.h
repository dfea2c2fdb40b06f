#pragma once

#include <string_view>
#include <vector>

#include "kernel/result.h"
#include "membership/member_table.h"
#include "wire/wire_error.h"

namespace poplarfront::wire {

/// Decodes the platform's list of instances:
/// `{"instances": [{"instance", "data_centre", "peer_address", "operator_address",
/// "status": "live" or "leaving"}]}`. Entries that are malformed are left out, so that one of them
/// does not hide the others.
/// Errors: wire_error if the whole is malformed. Thread-safe.
kernel::result<std::vector<membership::platform_entry>> decode_platform_list(std::string_view body);

}  // namespace poplarfront::wire
