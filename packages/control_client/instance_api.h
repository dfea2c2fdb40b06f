#pragma once

#include <concepts>
#include <optional>
#include <string>
#include <vector>

#include "configuration/announcement.h"
#include "configuration/configuration_status.h"
#include "kernel/concepts.h"

namespace poplarfront::control_client {

using optional_status = std::optional<configuration::configuration_status>;

/// Calls to the operator addresses of instances. The result is false or absent for an instance that
/// does not return a valid response before the deadline.
template <class T>
concept instance_api = requires(T& api, const std::string& address,
                                const std::vector<std::string>& addresses,
                                const configuration::announcement& announcement,
                                kernel::time_point deadline) {
    { api.announce(address, announcement, deadline) } -> std::same_as<bool>;
    // Returns one entry for each address, in the same order.
    { api.statuses(addresses, deadline) } -> std::same_as<std::vector<optional_status>>;
    { api.state(address, deadline) } -> std::same_as<std::optional<std::string>>;
};

}  // namespace poplarfront::control_client
