#pragma once

#include <string>

#include "model/identifier.h"

namespace poplarfront::daemon {

/// Who this instance is, as its settings say.
struct instance_identity {
    model::deployment_id deployment;
    model::instance_id instance;
    model::data_centre_id data_centre;
    /// A restarted instance has a higher one.
    model::incarnation incarnation_number;
    /// IP:PORT for messages of other instances.
    std::string peer_address;
    /// IP:PORT for operators.
    std::string operator_address;
    friend auto operator<=>(const instance_identity&, const instance_identity&) = default;
};

}  // namespace poplarfront::daemon
