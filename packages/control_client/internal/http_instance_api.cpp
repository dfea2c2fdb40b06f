#include "control_client/http_instance_api.h"

#include <algorithm>
#include <boost/fiber/fiber.hpp>
#include <utility>

#include "wire/configuration_codec.h"

namespace poplarfront::control_client {
namespace {

constexpr std::size_t max_connections_per_instance = 1;
constexpr unsigned status_ok = 200;
constexpr unsigned status_accepted = 202;
constexpr unsigned status_no_content = 204;

optional_status to_status(const std::optional<std::string>& body) {
    if (!body) {
        return std::nullopt;
    }
    return kernel::handle<wire::wire_error>(
        [&]() -> kernel::result<optional_status> {
            BOOST_LEAF_AUTO(status, wire::decode_status(*body));
            return optional_status{std::move(status)};
        },
        [](const wire::wire_error&) { return optional_status{}; });
}

}  // namespace

bool http_instance_api::announce(const std::string& address,
                                 const configuration::announcement& announcement,
                                 kernel::time_point deadline) {
    const runtime::http_request request{"POST", "/v1/config/announce",
                                        wire::encode_announcement(announcement), ""};
    const auto result = http_->call(address, request, deadline, max_connections_per_instance);
    return result.status == runtime::call_status::answered &&
           (result.response.status == status_ok || result.response.status == status_accepted ||
            result.response.status == status_no_content);
}

std::vector<optional_status> http_instance_api::statuses(const std::vector<std::string>& addresses,
                                                         kernel::time_point deadline) {
    constexpr std::size_t max_parallel = 64;
    std::vector<optional_status> statuses(addresses.size());
    std::size_t next = 0;
    std::vector<boost::fibers::fiber> workers;
    for (std::size_t n = 0; n < std::min(max_parallel, addresses.size()); ++n) {
        workers.emplace_back([&] {
            while (next < addresses.size()) {
                const auto index = next++;
                statuses[index] = to_status(get(addresses[index], "/v1/config/status", deadline));
            }
        });
    }
    for (auto& worker : workers) {
        worker.join();
    }
    return statuses;
}

std::optional<std::string> http_instance_api::state(const std::string& address,
                                                    kernel::time_point deadline) {
    return get(address, "/state", deadline);
}

std::optional<std::string> http_instance_api::get(const std::string& address,
                                                  const std::string& target,
                                                  kernel::time_point deadline) {
    auto result =
        http_->call(address, {"GET", target, "", ""}, deadline, max_connections_per_instance);
    if (result.status != runtime::call_status::answered || result.response.status != status_ok) {
        return std::nullopt;
    }
    return std::move(result.response.body);
}

}  // namespace poplarfront::control_client
