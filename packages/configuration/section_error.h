#pragma once

#include <compare>
#include <string>

namespace poplarfront::configuration {

/// Why a section is refused. `line` is 0 if no single line is at fault; `key` is empty if no single
/// key is.
struct section_error {
    std::string section;
    int line = 0;
    std::string key;
    std::string reason;
    friend auto operator<=>(const section_error&, const section_error&) = default;
};

/// The error as one line of text, `SECTION:LINE: KEY: REASON`; without `:LINE` and `KEY: ` if they
/// are not set.
[[nodiscard]] std::string to_string(const section_error& error);

}  // namespace poplarfront::configuration
