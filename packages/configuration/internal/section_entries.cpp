#include "configuration/internal/section_entries.h"

#include <spdlog/fmt/fmt.h>

#include <charconv>
#include <set>

#include "kernel/numbers.h"

namespace poplarfront::configuration {

std::string to_string(const section_error& error) {
    auto text = error.section;
    if (error.line > 0) {
        text += fmt::format(":{}", error.line);
    }
    if (!error.key.empty()) {
        text += ": " + error.key;
    }
    return text + ": " + error.reason;
}

namespace internal {
namespace {

/// The line number in a message of the form "<file>:<line>: ..."; 0 if it has none.
int line_of(const std::string& message, std::size_t file_name_length) {
    int line = 0;
    if (message.size() > file_name_length) {
        std::from_chars(message.data() + file_name_length + 1, message.data() + message.size(),
                        line);
    }
    return line;
}

kernel::result<std::vector<kernel::ini_entry>> parse_ini_entries(std::string_view section,
                                                                 std::string_view text) {
    return boost::leaf::try_handle_some(
        [&] { return kernel::parse_ini(section, text); },
        [&](const kernel::settings_error& error) -> kernel::result<std::vector<kernel::ini_entry>> {
            return boost::leaf::new_error(section_error{
                std::string{section}, line_of(error.message, section.size()), "", error.message});
        });
}

}  // namespace

kernel::result<std::vector<kernel::ini_entry>> parse_entries(std::string_view section,
                                                             std::string_view text) {
    BOOST_LEAF_AUTO(entries, parse_ini_entries(section, text));
    std::set<std::pair<std::string_view, std::string_view>> seen;
    for (const auto& entry : entries) {
        if (entry.section.size() >= inih_max_name_bytes ||
            entry.key.size() >= inih_max_name_bytes) {
            return entry_error(
                section, entry,
                fmt::format("headers and keys must be shorter than {} bytes", inih_max_name_bytes));
        }
        if (!seen.emplace(entry.section, entry.key).second) {
            return entry_error(section, entry, "given twice under [" + entry.section + "]");
        }
    }
    return entries;
}

kernel::result<std::uint32_t> parse_integer(std::string_view section,
                                            const kernel::ini_entry& entry, std::uint32_t minimum,
                                            std::uint32_t maximum) {
    const auto n = kernel::parse_number<std::uint32_t>(entry.value);
    if (!n || *n < minimum || *n > maximum) {
        return entry_error(section, entry,
                           fmt::format("must be an integer from {} to {}", minimum, maximum));
    }
    return *n;
}

}  // namespace internal
}  // namespace poplarfront::configuration
