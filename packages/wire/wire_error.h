#pragma once

#include <compare>
#include <string>

namespace poplarfront::wire {

/// Why bytes were refused. `field` is empty if the text as a whole is malformed.
struct wire_error {
    std::string field;
    std::string message;
    friend auto operator<=>(const wire_error&, const wire_error&) = default;
};

}  // namespace poplarfront::wire
