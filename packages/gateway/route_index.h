#pragma once

#include <memory>
#include <string_view>
#include <vector>

#include "gateway/gateway_configuration.h"

namespace poplarfront::gateway {

/// Looks up the route of a request. Immutable; thread-safe.
class route_index {
public:
    route_index() = default;
    explicit route_index(std::shared_ptr<const gateway_configuration> configuration);

    /// Returns the route of `host` with the longest prefix of `path`, or null if there is none. The
    /// port and the case of the argument `host` are ignored; the host of a route is in lower case.
    [[nodiscard]] const route* find(std::string_view host, std::string_view path) const;

private:
    /// Owns the routes that `sorted_routes_` points to.
    std::shared_ptr<const gateway_configuration> configuration_;
    /// Sorted by host, then by prefix.
    std::vector<const route*> sorted_routes_;
};

}  // namespace poplarfront::gateway
