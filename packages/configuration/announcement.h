#pragma once

#include "configuration/head.h"
#include "configuration/section_schema.h"

namespace poplarfront::configuration {

/// What an operators' client tells instances after an acceptance.
struct announcement {
    head accepted;
    /// The canonical texts of the sections that changed.
    section_texts texts;
    friend auto operator<=>(const announcement&, const announcement&) = default;
};

}  // namespace poplarfront::configuration
