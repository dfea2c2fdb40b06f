#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "configuration/section_error.h"
#include "kernel/settings.h"
#include "model/identifier.h"

namespace poplarfront::configuration::internal {

/// inih keeps at most this many bytes of a header or key and silently truncates the rest, so a name
/// of this length may be incomplete.
inline constexpr std::size_t inih_max_name_bytes = 49;

/// Splits the INI text of a section into entries. Errors: section_error for a syntax error, for a
/// header or key that is too long, and for a key given twice under one header.
kernel::result<std::vector<kernel::ini_entry>> parse_entries(std::string_view section,
                                                             std::string_view text);

/// Creates a section_error for `entry`.
inline auto entry_error(std::string_view section, const kernel::ini_entry& entry,
                        std::string reason) {
    return boost::leaf::new_error(
        section_error{std::string{section}, entry.line, entry.key, std::move(reason)});
}

/// Parses the value of `entry`. Errors: section_error if it is not an integer from `minimum` to
/// `maximum`.
kernel::result<std::uint32_t> parse_integer(std::string_view section,
                                            const kernel::ini_entry& entry, std::uint32_t minimum,
                                            std::uint32_t maximum);

/// Parses `text`, a part of `entry`, as an identifier. Errors: section_error.
template <class Identifier>
kernel::result<Identifier> parse_identifier(std::string_view section,
                                            const kernel::ini_entry& entry, std::string_view text) {
    if (!model::is_identifier(text)) {
        return entry_error(section, entry, "\"" + std::string{text} + "\" is not a valid name");
    }
    return Identifier::trusted(std::string{text});
}

}  // namespace poplarfront::configuration::internal
