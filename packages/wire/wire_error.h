#pragma once

#include <compare>
#include <string>

namespace poplarfront::wire {

/// Why input could not be decoded. `field` is empty if the input as a whole is malformed.
struct wire_error {
    std::string field;
    std::string message;
    friend auto operator<=>(const wire_error&, const wire_error&) = default;
};

}  // namespace poplarfront::wire
