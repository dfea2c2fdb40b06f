#pragma once

#include <compare>
#include <string>

namespace poplarfront::configuration {

/// Why a section is refused. `line` is 0 and `key` is empty if the error concerns no single one.
struct section_error {
    std::string section;
    int line = 0;
    std::string key;
    std::string reason;
    friend auto operator<=>(const section_error&, const section_error&) = default;
};

/// The error as one line of text: `SECTION:LINE: KEY: REASON`.
[[nodiscard]] std::string to_string(const section_error& error);

}  // namespace poplarfront::configuration
