#pragma once

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <concepts>
#include <optional>
#include <string>
#include <variant>

#include "gateway/backend_entry.h"
#include "gateway/client_request.h"
#include "gateway/gateway_answer.h"
#include "kernel/concepts.h"

namespace poplarfront::proxy {

using http_request = boost::beast::http::request<boost::beast::http::string_body>;
using http_response = boost::beast::http::response<boost::beast::http::string_body>;

/// A request as it is sent to backend servers, without the header fields that differ between
/// attempts.
struct forwarded_request {
    /// Request line and header fields, each with its line end, without the empty line that ends
    /// the header.
    std::string head;
    std::string body;
    /// Whether replies have no body, as for HEAD.
    bool without_reply_body = false;
    friend bool operator==(const forwarded_request&, const forwarded_request&) = default;
};

/// A valid request: its description for decisions, and its content for backend servers.
struct received_request {
    gateway::client_request request;
    forwarded_request forwarded;
};

/// An invalid request, which is answered with this status without a session.
struct refused_request {
    unsigned status = 400;
    std::string reason;
    friend bool operator==(const refused_request&, const refused_request&) = default;
};

/// Which header fields of a reply are kept for the answer. A gather needs none.
enum class reply_fields { none, all };

/// Encodes and decodes the messages of clients and backend servers. Implementations make no
/// decisions. All functions must be thread-safe.
template <class T>
concept gateway_protocol = requires(http_request request, http_response response,
                                    kernel::time_point now, const forwarded_request& forwarded,
                                    const gateway::backend_entry& backend,
                                    kernel::duration time_left, const std::string& id,
                                    reply_fields fields, const gateway::gateway_answer& answer,
                                    bool keep_alive, unsigned status, const std::string& reason) {
    {
        T::decode_client_request(std::move(request), now)
        } -> std::same_as<std::variant<received_request, refused_request>>;
    // Encodes the request for one backend server, whose deadline is `time_left` from now.
    { T::encode_backend_request(forwarded, backend, time_left) } -> std::same_as<std::string>;
    // Decodes a reply to the request `id`. Returns std::nullopt if the response belongs to another
    // request or is invalid.
    {
        T::decode_backend_reply(std::move(response), id, fields)
        } -> std::same_as<std::optional<gateway::backend_reply>>;
    // Encodes an answer to the client.
    { T::encode_gateway_answer(answer, id, keep_alive) } -> std::same_as<std::string>;
    // Encodes an answer to the client for a request that has no session.
    { T::encode_failure(status, reason, keep_alive) } -> std::same_as<std::string>;
};

}  // namespace poplarfront::proxy
