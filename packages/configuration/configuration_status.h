#pragma once

#include <functional>
#include <map>
#include <string>

#include "model/identifier.h"

namespace poplarfront::configuration {

/// What is in force on one instance.
struct configuration_status {
    model::instance_id instance;
    model::revision revision;
    /// The revision of each section that was ever written.
    std::map<std::string, model::revision, std::less<>> sections;
    friend auto operator<=>(const configuration_status&, const configuration_status&) = default;
};

}  // namespace poplarfront::configuration
