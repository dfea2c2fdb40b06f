#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "gateway/backend_reply.h"
#include "model/identifier.h"
#include "proxy/gateway_protocol.h"
#include "proxy/message_parser.h"

namespace poplarfront::proxy {

/// A request to a backend server and what is needed to handle its reply.
struct backend_call {
    std::string request_bytes;
    std::string request_id;
    reply_fields fields = reply_fields::none;
    bool without_reply_body = false;
    /// Time by which the backend server has to reply. The pool ends the call a grace period after
    /// it.
    kernel::time_point deadline;
    std::function<void(gateway::attempt_result)> on_result;
};

/// One connection to one backend server and the call that it carries, if any. Owned by a
/// backend_pool.
struct backend_connection {
    /// Limit of what the parser cannot consume yet, such as an incomplete chunk header, which has
    /// no limit of its own.
    static constexpr std::size_t max_buffer_bytes = std::size_t{64} * 1024;

    explicit backend_connection(boost::asio::io_context& context) : socket(context) {}

    model::server_id server;
    boost::asio::ip::tcp::socket socket;
    boost::beast::flat_buffer buffer{max_buffer_bytes};
    std::optional<message_parser<false>> parser;
    std::optional<backend_call> call;
    bool connected = false;
    bool written = false;
    kernel::time_point connect_deadline;
    /// Time after which an idle connection is not reused, since the backend server may be closing
    /// it.
    kernel::time_point usable_until;
};

}  // namespace poplarfront::proxy
