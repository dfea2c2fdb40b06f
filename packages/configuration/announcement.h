#pragma once

#include "configuration/head.h"
#include "configuration/section_schema.h"

namespace poplarfront::configuration {

/// Sent to instances by the control client after a write was accepted.
struct announcement {
    head accepted_head;
    /// The canonical texts of the sections that changed.
    section_texts texts;
    friend auto operator<=>(const announcement&, const announcement&) = default;
};

}  // namespace poplarfront::configuration
