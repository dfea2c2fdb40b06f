#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <utility>

#include <functional>

#include "runtime/http_types.h"

namespace poplarfront::runtime {

/// The handlers of one HTTP listener, by method and path. Handlers receive `Arguments` before the
/// request.
///
/// Thread safety: `add` is called while modules are created; afterwards `dispatch` may be called
/// from any thread.
template <class... Arguments>
class route_table {
public:
    using handler = std::function<http_response(Arguments..., const http_request&)>;

    /// Precondition: no other handler has this method and path.
    void add(std::string method, std::string path, handler handler) {
        handlers_.emplace(std::pair{std::move(path), std::move(method)}, std::move(handler));
    }

    /// Runs the handler of the request. If there is none, the response has status 405 if the path
    /// has handlers for other methods, else 404.
    [[nodiscard]] http_response dispatch(Arguments... arguments,
                                         const http_request& request) const {
        const std::string path = request.target.substr(0, request.target.find('?'));
        const auto it = handlers_.find(std::pair{path, request.method});
        if (it != handlers_.end()) {
            return it->second(arguments..., request);
        }
        const auto other = handlers_.lower_bound(std::pair{path, std::string{}});
        const bool path_exists = other != handlers_.end() && other->first.first == path;
        constexpr unsigned not_found = 404;
        constexpr unsigned method_not_allowed = 405;
        return {path_exists ? method_not_allowed : not_found,
                std::string{R"({"error":{"type":")"} +
                    (path_exists ? "method_not_allowed" : "not_found") +
                    R"(","field":"","message":"no such route","not_run":true}})"};
    }

private:
    std::map<std::pair<std::string, std::string>, handler> handlers_;
};

/// Handlers for callers also receive the index of the traffic thread that they run on.
using caller_routes = route_table<std::size_t>;
using operator_routes = route_table<>;

}  // namespace poplarfront::runtime
