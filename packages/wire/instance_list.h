#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "kernel/result.h"
#include "membership/member_table.h"
#include "wire/wire_error.h"

namespace poplarfront::wire {

/// The store key of the platform's list of instances, a JSON object
/// `{"instances": [{"instance", "data_centre", "peer_address", "operator_address",
/// "status": "live" or "leaving"}]}`.
inline const std::string instance_list_key = "platform/instances";

/// The instances of the platform's list. Entries that are malformed are left out, so that one of
/// them does not hide the others.
/// Errors: wire_error if the whole is malformed. Thread-safe.
kernel::result<std::vector<membership::instance_list_entry>> decode_instance_list(
    std::string_view body);

/// The operator addresses of the platform's list. Entries without one are left out.
/// Errors: wire_error if the whole is malformed. Thread-safe.
kernel::result<std::vector<std::string>> decode_operator_addresses(std::string_view body);

}  // namespace poplarfront::wire
