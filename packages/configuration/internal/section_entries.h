#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "configuration/section_error.h"
#include "kernel/settings.h"
#include "model/identifier.h"

namespace poplarfront::configuration::internal {

/// Longest header or key in bytes: inih keeps at most this much and silently cuts the rest.
inline constexpr std::size_t max_name_bytes = 49;

/// Splits the INI text of a section. Errors: section_error for a syntax error, for a header or key
/// that is too long, and for a key given twice under one header.
kernel::result<std::vector<kernel::ini_entry>> parse_entries(std::string_view section,
                                                             std::string_view text);

/// A section_error that blames `entry`.
inline auto refuse(std::string_view section, const kernel::ini_entry& entry, std::string reason) {
    return boost::leaf::new_error(
        section_error{std::string{section}, entry.line, entry.key, std::move(reason)});
}

/// Errors: section_error if the value is not an integer from `minimum` to `maximum`.
kernel::result<std::uint32_t> parse_integer(std::string_view section,
                                            const kernel::ini_entry& entry, std::uint32_t minimum,
                                            std::uint32_t maximum);

/// An identifier that `entry` carries as `text`. Errors: section_error.
template <class Identifier>
kernel::result<Identifier> parse_identifier(std::string_view section,
                                            const kernel::ini_entry& entry, std::string_view text) {
    if (!model::is_identifier(text)) {
        return refuse(section, entry, "\"" + std::string{text} + "\" is not a valid name");
    }
    return Identifier::trusted(std::string{text});
}

}  // namespace poplarfront::configuration::internal
