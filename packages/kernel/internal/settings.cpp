#include "kernel/settings.h"

#include <ini.h>
#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <cstring>

#include "kernel/numbers.h"

namespace poplarfront::kernel {
namespace {

/// State that the callbacks of inih share while one text is parsed.
struct parse_state {
    std::string_view remaining;
    int line = 0;
    bool line_too_long = false;
    std::vector<ini_entry> entries;
};

char* read_line(char* buffer, int size, void* stream) {
    auto& state = *static_cast<parse_state*>(stream);
    if (state.remaining.empty()) {
        return nullptr;
    }
    ++state.line;
    const auto end = state.remaining.find('\n');
    const auto length = end == std::string_view::npos ? state.remaining.size() : end;
    const auto capacity = static_cast<std::size_t>(size - 1);
    state.line_too_long = state.line_too_long || length > capacity;
    const auto copied = std::min(length, capacity);
    std::memcpy(buffer, state.remaining.data(), copied);
    buffer[copied] = '\0';
    state.remaining.remove_prefix(std::min(length + 1, state.remaining.size()));
    return buffer;
}

int add_entry(void* user, const char* section, const char* name, const char* value) {
    auto& state = *static_cast<parse_state*>(user);
    if (state.line_too_long || name == nullptr) {
        return 0;
    }
    state.entries.push_back({section, name, value == nullptr ? "" : value, state.line});
    return 1;
}

std::string trimmed(std::string_view text) {
    const auto first = text.find_first_not_of(" \t");
    if (first == std::string_view::npos) {
        return {};
    }
    const auto last = text.find_last_not_of(" \t");
    return std::string{text.substr(first, last - first + 1)};
}

/// Checks the form HOST:PORT and the range of the port; any host is accepted.
bool is_address(std::string_view text) {
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos || colon == 0) {
        return false;
    }
    constexpr std::int64_t max_port = 65535;
    const auto port = parse_number<std::int64_t>(text.substr(colon + 1));
    return port && *port >= 0 && *port <= max_port;
}

/// Unlike `model::is_identifier`, it does not accept '/'.
bool is_setting_identifier(std::string_view text) {
    constexpr std::size_t max_length = 64;
    constexpr std::string_view allowed =
        "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-";
    return !text.empty() && text.size() <= max_length &&
           text.find_first_not_of(allowed) == std::string_view::npos;
}

/// The allowed values if `value` is not one of them; nothing if it is valid.
std::optional<std::string> expected_if_invalid(const setting_descriptor& descriptor,
                                               const std::string& value) {
    switch (descriptor.kind) {
        case setting_kind::integer: {
            const auto n = parse_number<std::int64_t>(value);
            if (!n || *n < descriptor.minimum || *n > descriptor.maximum) {
                return fmt::format("an integer from {} to {}", descriptor.minimum,
                                   descriptor.maximum);
            }
            return std::nullopt;
        }
        case setting_kind::decimal: {
            const auto n = parse_number<double>(value);
            // Every comparison with NaN is false, so NaN is rejected too.
            if (n && *n >= static_cast<double>(descriptor.minimum) &&
                *n <= static_cast<double>(descriptor.maximum)) {
                return std::nullopt;
            }
            return fmt::format("a number from {} to {}", descriptor.minimum, descriptor.maximum);
        }
        case setting_kind::address:
            return is_address(value) ? std::nullopt
                                     : std::optional<std::string>{"an address as IP:PORT"};
        case setting_kind::identifier:
            return is_setting_identifier(value)
                       ? std::nullopt
                       : std::optional<std::string>{"1 to 64 letters, digits, '.', '_' or '-'"};
        case setting_kind::text:
        case setting_kind::list:
            return std::nullopt;
    }
    return std::nullopt;
}

}  // namespace

std::string setting_name(std::string_view section, std::string_view key) {
    return fmt::format("[{}] {}", section, key);
}

result<std::vector<ini_entry>> parse_ini(std::string_view file, std::string_view text) {
    parse_state state{.remaining = text};
    const int error_line = ini_parse_stream(read_line, &state, add_entry, &state);
    if (state.line_too_long) {
        return boost::leaf::new_error(settings_error{
            fmt::format("{}: line {} or an earlier line is too long", file, state.line)});
    }
    if (error_line != 0) {
        return boost::leaf::new_error(settings_error{
            fmt::format("{}:{}: expected [section], key = value or a comment", file, error_line)});
    }
    return std::move(state.entries);
}

result<settings> settings::parse(std::string_view file, std::string_view text,
                                 const std::vector<setting_descriptor>& descriptors) {
    BOOST_LEAF_AUTO(entries, parse_ini(file, text));
    values parsed;
    for (const auto& entry : entries) {
        const auto descriptor = std::find_if(
            descriptors.begin(), descriptors.end(),
            [&](const auto& it) { return it.section == entry.section && it.key == entry.key; });
        if (descriptor == descriptors.end()) {
            return boost::leaf::new_error(settings_error{fmt::format(
                "{}:{}: [{}] {}: unknown key", file, entry.line, entry.section, entry.key)});
        }
        if (const auto expected = expected_if_invalid(*descriptor, entry.value)) {
            return boost::leaf::new_error(
                settings_error{fmt::format("{}:{}: [{}] {}: \"{}\" is not {}", file, entry.line,
                                           entry.section, entry.key, entry.value, *expected)});
        }
        if (!parsed.emplace(std::pair{entry.section, entry.key}, entry.value).second) {
            return boost::leaf::new_error(settings_error{fmt::format(
                "{}:{}: [{}] {}: given twice", file, entry.line, entry.section, entry.key)});
        }
    }
    for (const auto& descriptor : descriptors) {
        const std::pair key{descriptor.section, descriptor.key};
        if (parsed.contains(key)) {
            continue;
        }
        if (!descriptor.default_value) {
            return boost::leaf::new_error(settings_error{fmt::format(
                "{}: [{}] {}: required key is missing", file, descriptor.section, descriptor.key)});
        }
        parsed.emplace(key, *descriptor.default_value);
    }
    return settings{std::move(parsed)};
}

std::vector<std::string> settings::differences(const settings& other) const {
    std::vector<std::string> keys;
    for (const auto& [key, value] : values_) {
        const auto it = other.values_.find(key);
        if (it == other.values_.end() || it->second != value) {
            keys.push_back(setting_name(key.first, key.second));
        }
    }
    return keys;
}

const std::string& settings::text(std::string_view section, std::string_view key) const {
    return values_.at({std::string{section}, std::string{key}});
}

std::int64_t settings::integer(std::string_view section, std::string_view key) const {
    return parse_number<std::int64_t>(text(section, key)).value_or(0);
}

double settings::decimal(std::string_view section, std::string_view key) const {
    return parse_number<double>(text(section, key)).value_or(0);
}

std::vector<std::string> settings::list(std::string_view section, std::string_view key) const {
    std::vector<std::string> parts;
    std::string_view rest = text(section, key);
    while (!rest.empty()) {
        const auto comma = std::min(rest.find(','), rest.size());
        if (auto part = trimmed(rest.substr(0, comma)); !part.empty()) {
            parts.push_back(std::move(part));
        }
        rest.remove_prefix(std::min(comma + 1, rest.size()));
    }
    return parts;
}

}  // namespace poplarfront::kernel
