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

/// A request as it is passed on to backend servers, but for the fields that differ between them.
struct forwarded_request {
    /// Request line and fields, each with its line end, without the empty line that ends them.
    std::string head;
    std::string body;
    /// Whether replies come without a body, as for HEAD.
    bool without_reply_body = false;
    friend bool operator==(const forwarded_request&, const forwarded_request&) = default;
};

/// A request that can be decided on.
struct received_request {
    gateway::client_request request;
    forwarded_request forwarded;
};

/// A request that is answered without a decision.
struct refused_request {
    unsigned status = 400;
    std::string reason;
    friend bool operator==(const refused_request&, const refused_request&) = default;
};

/// How many header fields of a reply are wanted.
enum class reply_fields { none, all };

/// The names and formats that clients and backend servers speak. Implementations decide nothing.
/// All functions must be thread-safe.
template <class T>
concept gateway_protocol = requires(http_request request, http_response response,
                                    kernel::time_point now, const forwarded_request& forwarded,
                                    const gateway::backend_entry& backend, kernel::duration left,
                                    const std::string& id, reply_fields fields,
                                    const gateway::gateway_answer& answer, bool keep_alive,
                                    unsigned status, const std::string& reason) {
    {
        T::read_request(std::move(request), now)
        } -> std::same_as<std::variant<received_request, refused_request>>;
    // The bytes for one backend server, which stops work after `left`.
    { T::backend_request(forwarded, backend, left) } -> std::same_as<std::string>;
    // Nothing if the response does not belong to the request `id` or cannot be used.
    {
        T::read_reply(std::move(response), id, fields)
        } -> std::same_as<std::optional<gateway::backend_reply>>;
    // The bytes of an answer to the client.
    { T::answer_bytes(answer, id, keep_alive) } -> std::same_as<std::string>;
    { T::failure_bytes(status, reason, keep_alive) } -> std::same_as<std::string>;
};

}  // namespace poplarfront::proxy
