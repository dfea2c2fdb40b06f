#include "runtime/endpoint.h"

#include <charconv>

namespace poplarfront::runtime {

std::optional<boost::asio::ip::tcp::endpoint> parse_endpoint(const std::string& address) {
    const auto colon = address.rfind(':');
    if (colon == std::string::npos) {
        return std::nullopt;
    }
    boost::system::error_code ec;
    const auto ip = boost::asio::ip::make_address(address.substr(0, colon), ec);
    unsigned short port = 0;
    const auto* const last = address.data() + address.size();
    const auto parsed = std::from_chars(address.data() + colon + 1, last, port);
    if (ec || parsed.ec != std::errc{} || parsed.ptr != last) {
        return std::nullopt;
    }
    return boost::asio::ip::tcp::endpoint{ip, port};
}

}  // namespace poplarfront::runtime
