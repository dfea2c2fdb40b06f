#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <optional>
#include <string>

namespace poplarfront::runtime {

/// Parses `IP:PORT`; returns nothing if the text has another form.
std::optional<boost::asio::ip::tcp::endpoint> parse_endpoint(const std::string& address);

}  // namespace poplarfront::runtime
