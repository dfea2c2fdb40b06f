#pragma once

#include <charconv>
#include <optional>
#include <string_view>
#include <system_error>

namespace poplarfront::kernel {

/// Parses `text` as a number. Absent if the text is not a number as a whole, or if the number is
/// out of the range of `Number`.
/// Thread-safe.
template <class Number>
[[nodiscard]] std::optional<Number> parse_number(std::string_view text) {
    Number n{};
    const auto* const last = text.data() + text.size();
    const auto [end, ec] = std::from_chars(text.data(), last, n);
    return ec == std::errc{} && end == last ? std::optional{n} : std::nullopt;
}

}  // namespace poplarfront::kernel
