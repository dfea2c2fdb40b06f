#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "model/identifier.h"

namespace poplarfront::model {

enum class instance_status { alive, suspect, leaving, failed };
[[nodiscard]] std::string_view to_string(instance_status status);

/// One instance as the membership knows it.
struct instance_info {
    instance_id instance;
    data_centre_id data_centre;
    /// IP:PORT of its peer endpoint.
    std::string peer_address;
    incarnation incarnation_number;
    instance_status status = instance_status::alive;
    friend auto operator<=>(const instance_info&, const instance_info&) = default;
};

/// All known instances at one moment. Immutable when published.
struct instance_view {
    std::map<instance_id, instance_info> instances;

    /// Null if the instance is unknown. Valid while this view lives.
    [[nodiscard]] const instance_info* find(const instance_id& id) const;
    /// Instances that may take new work: alive or suspect, sorted by id.
    [[nodiscard]] std::vector<instance_id> working_instances() const;
    friend bool operator==(const instance_view&, const instance_view&) = default;
};

}  // namespace poplarfront::model
