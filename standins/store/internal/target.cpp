#include "standins/store/internal/target.h"

#include <charconv>

namespace poplarfront::standins {

std::optional<std::uint64_t> target::number(const std::string& name) const {
    const auto found = parameters.find(name);
    return found == parameters.end() ? std::nullopt : parse_number(found->second);
}

target parse_target(std::string_view text) {
    const auto question = text.find('?');
    target parsed{std::string{text.substr(0, question)}, {}};
    auto rest = question == std::string_view::npos ? std::string_view{} : text.substr(question + 1);
    while (!rest.empty()) {
        const auto end = rest.find('&');
        const auto part = rest.substr(0, end);
        const auto equals = part.find('=');
        if (equals != std::string_view::npos) {
            parsed.parameters.emplace(part.substr(0, equals), part.substr(equals + 1));
        }
        rest = end == std::string_view::npos ? std::string_view{} : rest.substr(end + 1);
    }
    return parsed;
}

std::optional<std::uint64_t> parse_number(std::string_view text) {
    std::uint64_t n = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), n);
    if (text.empty() || ec != std::errc{} || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return n;
}

}  // namespace poplarfront::standins
