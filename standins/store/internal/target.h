#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace poplarfront::standins {

/// A request target split into its path and parameters.
struct target {
    std::string path;
    std::map<std::string, std::string> parameters;

    /// The parameter as a number; nothing if it is absent or not a number.
    [[nodiscard]] std::optional<std::uint64_t> number(const std::string& name) const;
    friend auto operator<=>(const target&, const target&) = default;
};

[[nodiscard]] target parse_target(std::string_view text);

}  // namespace poplarfront::standins
