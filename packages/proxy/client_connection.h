#pragma once

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/fiber/operations.hpp>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>

#include "proxy/message_parser.h"
#include "proxy/proxied_request.h"
#include "proxy/request_log.h"
#include "proxy/traffic_context.h"
#include "runtime/mailbox.h"

namespace poplarfront::proxy {

/// Serves one client connection on one fiber, one request after the other: reads a request, waits
/// for its answer and writes it. While it waits, it detects that the client disconnects.
///
/// Thread safety: none; it belongs to one traffic thread.
template <gateway_protocol Protocol>
class client_connection : public std::enable_shared_from_this<client_connection<Protocol>> {
public:
    client_connection(std::shared_ptr<traffic_context<Protocol>> context,
                      boost::asio::ip::tcp::socket socket)
        : context_(std::move(context)), socket_(std::move(socket)) {}

    /// Returns when the connection is closed. Precondition: runs on a fiber of the traffic thread.
    void serve() {
        boost::system::error_code ignored;
        socket_.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
        socket_.non_blocking(true, ignored);
        while (handle_next_request()) {
        }
        close();
    }

    /// Answers the request that is under way, if any, at once. May be called from other fibers of
    /// the traffic thread.
    void expire_request() { events_.push(event{event_kind::expire_request, {}}); }

    /// Closes the connection unless a request is being received or answered. May be called from
    /// other fibers of the traffic thread.
    void close_if_idle() {
        if (idle_) {
            events_.push(event{event_kind::close_if_idle, {}});
        }
    }

private:
    /// `close_if_idle` is ignored if a request has begun, `expire_request` unless one is under way.
    enum class event_kind {
        bytes_received,
        client_closed,
        answer_ready,
        close_if_idle,
        expire_request,
    };
    struct event {
        event_kind kind = event_kind::client_closed;
        std::optional<gateway::gateway_answer> answer;
    };
    using request_parser = message_parser<true>;
    using error_code = boost::system::error_code;

    static kernel::time_point now() { return kernel::time_point::clock::now(); }

    gateway::client_limits limits() const {
        const auto view = context_->view->read();
        return view->configuration == nullptr ? gateway::client_limits{}
                                              : view->configuration->limits;
    }

    /// Starts a read if none is pending. Also called while a request is being answered and no input
    /// is buffered, to detect that the client disconnects.
    void read_more() {
        if (read_pending_ || input_ended_) {
            return;
        }
        constexpr std::size_t read_bytes = 2048;
        read_pending_ = true;
        socket_.async_read_some(
            buffer_.prepare(read_bytes),
            [self = this->shared_from_this()](const error_code& ec, std::size_t n) {
                self->read_pending_ = false;
                self->input_ended_ = self->input_ended_ || ec;
                // At once, since the next read may begin before the event is handled.
                self->buffer_.commit(n);
                self->events_.push(
                    event{ec ? event_kind::client_closed : event_kind::bytes_received, {}});
            });
    }

    /// Reads one request and answers it. False if the connection is to be closed.
    bool handle_next_request() {
        std::optional<request_parser> parser;
        if (!read_request(parser)) {
            return false;
        }
        auto request = parser->release();
        parser.reset();
        const bool keep_alive = request.keep_alive();
        answer_has_body_ = request.method() != boost::beast::http::verb::head;
        auto received = Protocol::decode_client_request(std::move(request), now());
        if (const auto* refused = std::get_if<refused_request>(&received)) {
            log_refused({}, refused->status, refused->reason);
            return write_answer(
                       Protocol::encode_failure(refused->status, refused->reason, keep_alive)) &&
                   keep_alive;
        }
        return handle_request(std::move(std::get<received_request>(received)), keep_alive);
    }

    /// Reads one request into `parser`. Returns false if the connection is to be closed, after
    /// answering a request that is invalid or was not received completely in time.
    bool read_request(std::optional<request_parser>& parser) {
        const auto client_limits = limits();
        auto deadline = now() + client_limits.idle_timeout;
        bool request_begun = false;
        continue_sent_ = false;
        parser.emplace();
        parser->eager(true);
        parser->header_limit(client_limits.max_header_bytes);
        parser->body_limit(client_limits.max_body_bytes);
        idle_ = true;
        while (true) {
            if (buffer_.size() > 0) {
                if (!request_begun) {
                    request_begun = true;
                    idle_ = false;
                    deadline = now() + client_limits.header_timeout;
                }
                if (!parse_buffer(*parser)) {
                    return false;
                }
                if (has_unknown_body_length(*parser)) {
                    reject(bad_request, "the last transfer coding is not chunked");
                    return false;
                }
                if (parser->is_done()) {
                    return true;
                }
                if (parser->is_header_done()) {
                    send_continue(*parser);
                    // While the body is received, the timeout restarts with each read.
                    deadline = std::max(deadline, now() + client_limits.header_timeout);
                }
            }
            read_more();
            auto next = events_.pop_until(deadline);
            if (!next) {
                if (request_begun) {
                    reject(request_timeout, "the request was not received in time");
                }
                return false;
            }
            if (next->kind == event_kind::client_closed ||
                (next->kind == event_kind::close_if_idle && !request_begun &&
                 buffer_.size() == 0)) {
                return false;
            }
        }
    }

    /// Whether the length of a body is unknown, since its last transfer coding is not `chunked`.
    /// What follows the header must not be taken for the next request.
    static bool has_unknown_body_length(const request_parser& parser) {
        return parser.is_header_done() && !parser.chunked() &&
               parser.get().count(boost::beast::http::field::transfer_encoding) > 0;
    }

    /// Passes the received bytes to the parser. Returns false if they are not a valid request,
    /// after writing an error answer.
    bool parse_buffer(request_parser& parser) {
        namespace http = boost::beast::http;
        error_code ec;
        const auto used = parser.put(buffer_.data(), ec);
        buffer_.consume(used);
        // An incomplete chunk header has no limit of its own in the parser.
        constexpr std::size_t max_unparsed_bytes = std::size_t{64} * 1024;
        if ((!ec || ec == http::error::need_more) && buffer_.size() <= max_unparsed_bytes) {
            return true;
        }
        if (ec == http::error::header_limit) {
            reject(header_too_large, "the request header is too large");
        } else if (ec == http::error::body_limit) {
            reject(body_too_large, "the request body is too large");
        } else {
            reject(bad_request, "invalid HTTP request: " + ec.message());
        }
        return false;
    }

    /// Sends the interim reply that a client with `Expect: 100-continue` waits for, at most once
    /// for each request.
    void send_continue(request_parser& parser) {
        namespace http = boost::beast::http;
        if (continue_sent_ ||
            !boost::beast::iequals(parser.get()[http::field::expect], "100-continue")) {
            return;
        }
        continue_sent_ = true;
        write("HTTP/1.1 100 Continue\r\n\r\n");
    }

    /// Answers a request that could not be read. The connection is closed after it.
    void reject(unsigned status, const std::string& reason) {
        log_refused({}, status, reason);
        write(Protocol::encode_failure(status, reason, false));
    }

    /// Finds the route of a request and answers it. False if the connection is to be closed.
    bool handle_request(received_request received, bool keep_alive) {
        const auto received_at = received.request.received;
        const auto id = received.request.id;
        if (context_->refuses_requests) {
            return answer_with_status(id, unavailable, "the instance is stopping", keep_alive);
        }
        const auto view = wait_for_configuration();
        if (view->configuration == nullptr) {
            return answer_with_status(id, unavailable, "no configuration has been received yet",
                                      keep_alive);
        }
        const auto* route = view->routes.find(received.request.host, received.request.target);
        if (route == nullptr) {
            // While the configuration store is unreachable, a newer configuration that this
            // instance has not read may contain the route.
            return view->store_reached
                       ? answer_with_status(id, not_found, "no route matches", keep_alive)
                       : answer_with_status(id, unavailable,
                                            "no route matches and the store is unreachable",
                                            keep_alive);
        }
        const auto request = proxied_request<Protocol>::create(
            *context_, view, *route, std::move(received),
            [self = this->shared_from_this()](gateway::gateway_answer answer) {
                self->events_.push(event{event_kind::answer_ready, std::move(answer)});
            });
        ++context_->open_requests;
        const bool keep_open = await_answer(*request, received_at, keep_alive);
        --context_->open_requests;
        return keep_open;
    }

    /// Returns the fleet view. Waits a short time for the first configuration, since a starting
    /// instance reads it within a few ms, while a refused client would retry much later.
    std::shared_ptr<const gateway::fleet_view> wait_for_configuration() {
        constexpr auto max_wait = std::chrono::milliseconds{150};
        constexpr auto poll_interval = std::chrono::milliseconds{5};
        const auto deadline = now() + max_wait;
        auto view = context_->view->read();
        while (view->configuration == nullptr && now() < deadline) {
            boost::this_fiber::sleep_for(poll_interval);
            view = context_->view->read();
        }
        return view;
    }

    /// Runs a request and writes its answer. Bytes that the client sends meanwhile are buffered for
    /// the next request. False if the connection is to be closed.
    bool await_answer(proxied_request<Protocol>& request, kernel::time_point received_at,
                      bool keep_alive) {
        request.start();
        while (true) {
            if (buffer_.size() == 0) {
                read_more();
            }
            auto next = events_.pop_until(kernel::time_point::max());
            if (next->kind == event_kind::bytes_received ||
                next->kind == event_kind::close_if_idle) {
                continue;
            }
            if (next->kind == event_kind::expire_request) {
                request.expire();
                continue;
            }
            if (next->kind == event_kind::client_closed) {
                request.on_client_disconnected();
                context_->answers.add("client_gone");
                log_client_disconnected(request.request(), request.request_route(),
                                        request.summary(), now() - received_at);
                return false;
            }
            const bool keep_open = keep_alive && !context_->stopping;
            const auto elapsed = now() - received_at;
            context_->latencies.record(elapsed);
            context_->answers.add(to_string(next->answer->kind));
            const bool written = write_answer(
                Protocol::encode_gateway_answer(*next->answer, request.request().id, keep_open));
            request.on_write_ended();
            log_answer(request.request(), request.request_route(), *next->answer, elapsed);
            return written && keep_open;
        }
    }

    /// Answers a request that has no session. False if the connection is to be closed.
    bool answer_with_status(const std::string& id, unsigned status, const std::string& reason,
                            bool keep_alive) {
        const bool keep_open = keep_alive && !context_->stopping;
        context_->answers.add(std::to_string(status));
        log_refused(id, status, reason);
        return write_answer(Protocol::encode_failure(status, reason, keep_open)) && keep_open;
    }

    /// Writes an answer to the request that was read, without its body if this was HEAD: the client
    /// would take the body for the next answer.
    bool write_answer(std::string bytes) {
        constexpr std::string_view header_end = "\r\n\r\n";
        if (!answer_has_body_) {
            bytes.resize(std::min(bytes.size(), bytes.find(header_end) + header_end.size()));
        }
        return write(bytes);
    }

    /// False if the client has disconnected or has not read all bytes within the idle timeout.
    bool write(const std::string& bytes) {
        error_code ec;
        // Most answers fit into the send buffer and need no asynchronous write.
        const auto sent = socket_.write_some(boost::asio::buffer(bytes), ec);
        if (!ec && sent == bytes.size()) {
            return true;
        }
        if (ec && ec != boost::asio::error::would_block) {
            return false;
        }
        return write_remaining(bytes, ec ? 0 : sent);
    }

    bool write_remaining(const std::string& bytes, std::size_t sent) {
        struct write_state {
            runtime::mailbox<bool> result;
            std::string remaining;
        };
        const auto state = std::make_shared<write_state>();
        state->remaining = bytes.substr(sent);
        boost::asio::async_write(
            socket_, boost::asio::buffer(state->remaining),
            [state](const error_code& ec, std::size_t) { state->result.push(!ec); });
        const auto success = state->result.pop_until(now() + limits().idle_timeout);
        return success.value_or(false);
    }

    /// Shuts down sending, then discards input until the client closes its side or the linger
    /// timeout expires. Closing a socket with unread input would reset the connection, and the
    /// client could lose the last answer.
    void close() {
        error_code ignored;
        socket_.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
        constexpr auto linger_timeout = std::chrono::milliseconds{300};
        const auto deadline = now() + linger_timeout;
        while (!input_ended_) {
            buffer_.consume(buffer_.size());
            read_more();
            if (!events_.pop_until(deadline)) {
                break;
            }
        }
        socket_.close(ignored);
    }

    static constexpr unsigned bad_request = 400;
    static constexpr unsigned not_found = 404;
    static constexpr unsigned request_timeout = 408;
    static constexpr unsigned body_too_large = 413;
    static constexpr unsigned header_too_large = 431;
    static constexpr unsigned unavailable = 503;

    std::shared_ptr<traffic_context<Protocol>> context_;
    boost::asio::ip::tcp::socket socket_;
    boost::beast::flat_buffer buffer_;
    runtime::mailbox<event> events_;
    bool read_pending_ = false;
    bool input_ended_ = false;
    bool idle_ = false;
    bool continue_sent_ = false;
    /// False if the request that is being answered is HEAD.
    bool answer_has_body_ = true;
};

}  // namespace poplarfront::proxy
