#include "gateway/route_index.h"

#include <algorithm>
#include <cctype>
#include <string>
#include <tuple>

namespace poplarfront::gateway {
namespace {

std::string normalised_host(std::string_view host) {
    const auto colon = host.rfind(':');
    std::string text{host.substr(0, colon)};
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return text;
}

std::tuple<std::string_view, std::string_view> key_of(const route& it) {
    return {it.host, it.path_prefix};
}

}  // namespace

route_index::route_index(std::shared_ptr<const gateway_configuration> configuration)
    : configuration_(std::move(configuration)) {
    for (const auto& it : configuration_->routes) {
        sorted_routes_.push_back(&it);
    }
    std::sort(sorted_routes_.begin(), sorted_routes_.end(),
              [](const auto* a, const auto* b) { return key_of(*a) < key_of(*b); });
}

const route* route_index::find(std::string_view host, std::string_view path) const {
    const auto wanted = normalised_host(host);
    std::string_view path_without_query = path.substr(0, path.find('?'));
    // Every prefix of a route ends with a slash, so only positions after a slash are looked up.
    for (auto slash = path_without_query.rfind('/'); slash != std::string_view::npos;
         slash = slash == 0 ? std::string_view::npos : path_without_query.rfind('/', slash - 1)) {
        const auto key =
            std::tuple{std::string_view{wanted}, path_without_query.substr(0, slash + 1)};
        const auto it =
            std::lower_bound(sorted_routes_.begin(), sorted_routes_.end(), key,
                             [](const auto* a, const auto& b) { return key_of(*a) < b; });
        if (it != sorted_routes_.end() && key_of(**it) == key) {
            return *it;
        }
    }
    return nullptr;
}

}  // namespace poplarfront::gateway
