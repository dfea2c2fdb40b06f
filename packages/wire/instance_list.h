#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "kernel/result.h"
#include "wire/wire_error.h"

namespace poplarfront::wire {

/// The store key of the platform's list of instances.
inline const std::string instance_list_key = "platform/instances";

/// The operator addresses of the platform's list, a JSON object
/// `{"instances": [{"operator_address": "IP:PORT", ...}]}`. Entries without one are left out,
/// so that one malformed entry does not hide the others.
/// Errors: wire_error if the whole is malformed. Thread-safe.
kernel::result<std::vector<std::string>> decode_operator_addresses(std::string_view body);

}  // namespace poplarfront::wire
