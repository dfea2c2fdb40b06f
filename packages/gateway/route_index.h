#pragma once

#include <memory>
#include <string_view>
#include <vector>

#include "gateway/gateway_configuration.h"

namespace poplarfront::gateway {

/// Finds the route of a request. Immutable; safe to read from any thread.
class route_index {
public:
    route_index() = default;
    explicit route_index(std::shared_ptr<const gateway_configuration> configuration);

    /// The route of `host` with the longest prefix that begins `path`; null without one. The host
    /// is compared without its port and without regard to case.
    [[nodiscard]] const route* find(std::string_view host, std::string_view path) const;

private:
    /// Keeps the routes alive.
    std::shared_ptr<const gateway_configuration> configuration_;
    /// By host, then by prefix.
    std::vector<const route*> sorted_;
};

}  // namespace poplarfront::gateway
