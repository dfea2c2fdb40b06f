#pragma once

#include <functional>
#include <map>
#include <string>

#include "model/identifier.h"

namespace poplarfront::configuration {

/// The active revisions of one instance.
struct configuration_status {
    model::instance_id instance;
    /// The document revision.
    model::revision revision;
    /// The revision of each section that was ever written.
    std::map<std::string, model::revision, std::less<>> sections;
    friend auto operator<=>(const configuration_status&, const configuration_status&) = default;
};

}  // namespace poplarfront::configuration
