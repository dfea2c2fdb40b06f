#pragma once

#include <memory>

#include "control_client/instance_api.h"
#include "runtime/http_client.h"

namespace poplarfront::control_client {

/// Calls the HTTP routes for operators. Thread safety: used on fibers of the HTTP client's thread.
class http_instance_api {
public:
    explicit http_instance_api(std::shared_ptr<runtime::http_client> http)
        : http_(std::move(http)) {}

    bool announce(const std::string& address, const configuration::announcement& announcement,
                  kernel::time_point deadline);
    std::vector<optional_status> statuses(const std::vector<std::string>& addresses,
                                          kernel::time_point deadline);
    std::optional<std::string> state(const std::string& address, kernel::time_point deadline);

private:
    std::optional<std::string> get(const std::string& address, const std::string& target,
                                   kernel::time_point deadline);

    std::shared_ptr<runtime::http_client> http_;
};
static_assert(instance_api<http_instance_api>);

}  // namespace poplarfront::control_client
