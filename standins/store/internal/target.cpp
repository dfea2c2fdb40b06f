#include "standins/store/internal/target.h"

#include "kernel/numbers.h"

namespace poplarfront::standins {

std::optional<std::uint64_t> target::number(const std::string& name) const {
    const auto found = parameters.find(name);
    return found == parameters.end() ? std::nullopt
                                     : kernel::parse_number<std::uint64_t>(found->second);
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

}  // namespace poplarfront::standins
