#pragma once

#include <compare>
#include <string>

namespace poplarfront::runtime {

/// Maximum size in bytes of a request body; leaves room for a store value, which has at most 1 MiB.
inline constexpr std::size_t max_request_body_bytes = std::size_t{2} * 1024 * 1024;

/// Maximum size in bytes of a response body. Leaves room for a page of a listing: 1 MB of keys and
/// another value of 1 MiB that ends the page, as base64 text.
inline constexpr std::size_t max_response_body_bytes = std::size_t{3} * 1024 * 1024;

struct http_request {
    /// In upper case: GET, POST, PUT or DELETE. A server passes any method to the handler.
    std::string method;
    /// Path and query string.
    std::string target;
    std::string body;
    /// The If-Match header; empty if there is none.
    std::string if_match;
    friend auto operator<=>(const http_request&, const http_request&) = default;
};

/// A response with this status makes the server close the connection without sending anything;
/// stand-ins (simulated servers for tests) use it to model lost replies.
inline constexpr unsigned close_without_response = 0;

struct http_response {
    unsigned status = 200;
    std::string body;
    /// The ETag header; empty if there is none.
    std::string etag;
    /// Always the default in the response that a client returns.
    std::string content_type = "application/json";
    friend auto operator<=>(const http_response&, const http_response&) = default;
};

/// How a call ended, as seen by the transport.
enum class call_status {
    /// A response arrived.
    answered,
    /// No byte of the request was sent: no connection could be opened, none was free in time, or
    /// the client was aborted.
    not_sent,
    /// The connection was lost after part of the request may have been sent, or the response was
    /// invalid.
    connection_lost,
    /// The body of the response exceeds max_response_body_bytes.
    response_too_large,
    /// The deadline passed after part of the request may have been sent.
    timed_out,
};

struct call_result {
    call_status status = call_status::not_sent;
    /// Valid only if `status` is `answered`.
    http_response response;
    friend auto operator<=>(const call_result&, const call_result&) = default;
};

}  // namespace poplarfront::runtime
