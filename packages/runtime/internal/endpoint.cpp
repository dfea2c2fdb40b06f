#include "runtime/endpoint.h"

#include <string_view>

#include "kernel/numbers.h"

namespace poplarfront::runtime {

std::optional<boost::asio::ip::tcp::endpoint> parse_endpoint(const std::string& address) {
    const auto colon = address.rfind(':');
    if (colon == std::string::npos) {
        return std::nullopt;
    }
    boost::system::error_code ec;
    const auto ip = boost::asio::ip::make_address(address.substr(0, colon), ec);
    const auto port =
        kernel::parse_number<unsigned short>(std::string_view{address}.substr(colon + 1));
    if (ec || !port) {
        return std::nullopt;
    }
    return boost::asio::ip::tcp::endpoint{ip, *port};
}

}  // namespace poplarfront::runtime
