#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "kernel/result.h"

namespace poplarfront::kernel {

/// Why settings are invalid. The message names the file, line, section, key and allowed range as
/// far as they apply.
struct settings_error {
    std::string message;
    friend auto operator<=>(const settings_error&, const settings_error&) = default;
};

enum class setting_kind { text, integer, decimal, address, identifier, list };

/// One key that a module accepts. `minimum` and `maximum` are the limits of a numeric value.
struct setting_descriptor {
    std::string section;
    std::string key;
    setting_kind kind = setting_kind::text;
    std::int64_t minimum = 0;
    std::int64_t maximum = 0;
    /// If absent, the key is required.
    std::optional<std::string> default_value;
    std::string description;
    /// Whether a running process can apply a new value.
    bool reloadable = false;
    friend auto operator<=>(const setting_descriptor&, const setting_descriptor&) = default;
};

/// The form of a key in messages: `[section] key`. Thread-safe.
std::string setting_name(std::string_view section, std::string_view key);

/// The validated settings of a process. Immutable; safe to read from any thread.
class settings {
public:
    /// Parses INI text and checks each key against the descriptors.
    /// Errors: settings_error for a syntax error, a line that is too long, an unknown section or
    /// key, a repeated key, a missing required key, or a value of the wrong form or range.
    static result<settings> parse(std::string_view file, std::string_view text,
                                  const std::vector<setting_descriptor>& descriptors);

    /// Precondition for all getters: the key has a descriptor.
    [[nodiscard]] const std::string& text(std::string_view section, std::string_view key) const;
    [[nodiscard]] std::int64_t integer(std::string_view section, std::string_view key) const;
    [[nodiscard]] double decimal(std::string_view section, std::string_view key) const;
    /// The items of a comma-separated value, trimmed; empty items are left out.
    [[nodiscard]] std::vector<std::string> list(std::string_view section,
                                                std::string_view key) const;

    /// The keys, as `[section] key`, whose values differ from those in `other`. Precondition: both
    /// were parsed with the same descriptors.
    [[nodiscard]] std::vector<std::string> differences(const settings& other) const;

    friend bool operator==(const settings&, const settings&) = default;

private:
    using values = std::map<std::pair<std::string, std::string>, std::string, std::less<>>;
    explicit settings(values values) : values_(std::move(values)) {}

    values values_;
};

/// One INI entry and the line that it is on.
struct ini_entry {
    std::string section;
    std::string key;
    std::string value;
    int line = 0;
    friend auto operator<=>(const ini_entry&, const ini_entry&) = default;
};

/// Splits INI text into its entries, in file order.
/// Errors: settings_error for a syntax error, with its line, or for a line that is too long.
result<std::vector<ini_entry>> parse_ini(std::string_view file, std::string_view text);

}  // namespace poplarfront::kernel
