#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/fiber/operations.hpp>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <variant>

#include "proxy/proxied_request.h"
#include "proxy/request_log.h"
#include "proxy/traffic_context.h"
#include "runtime/mailbox.h"

namespace poplarfront::proxy {

/// Serves one connection of a client on one fiber: reads a request, waits for its answer while it
/// watches for the client's leaving, writes the answer, and goes on.
///
/// Thread safety: none; it belongs to one traffic thread.
template <gateway_protocol Protocol>
class client_connection : public std::enable_shared_from_this<client_connection<Protocol>> {
public:
    client_connection(std::shared_ptr<traffic_context<Protocol>> shared,
                      boost::asio::ip::tcp::socket socket)
        : shared_(std::move(shared)), socket_(std::move(socket)) {}

    /// Runs until the connection ends. Precondition: on a fiber of the traffic thread.
    void serve() {
        boost::system::error_code ignored;
        socket_.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
        socket_.non_blocking(true, ignored);
        while (serve_one()) {
        }
        close();
    }

    /// Closes the connection if no request is under way.
    void close_if_idle() {
        if (idle_) {
            events_.push(event{event_kind::stop, 0, {}});
        }
    }

private:
    /// `stop` asks to close the connection unless a request has begun.
    enum class event_kind { bytes, closed, answered, stop };
    struct event {
        event_kind kind = event_kind::closed;
        std::size_t bytes = 0;
        std::optional<gateway::gateway_answer> answer;
    };
    using request_parser = boost::beast::http::request_parser<boost::beast::http::string_body>;
    using error_code = boost::system::error_code;

    static kernel::time_point now() { return kernel::time_point::clock::now(); }

    gateway::client_limits limits() const {
        const auto view = shared_->view->read();
        return view->configuration == nullptr ? gateway::client_limits{}
                                              : view->configuration->limits;
    }

    /// One read is under way at all times, so that the end of the connection is noticed.
    void read_more() {
        if (reading_ || at_end_) {
            return;
        }
        constexpr std::size_t read_bytes = 2048;
        reading_ = true;
        socket_.async_read_some(
            buffer_.prepare(read_bytes),
            [self = this->shared_from_this()](const error_code& ec, std::size_t n) {
                self->reading_ = false;
                self->at_end_ = self->at_end_ || ec;
                self->events_.push(event{ec ? event_kind::closed : event_kind::bytes, n, {}});
            });
    }

    bool serve_one() {
        std::optional<request_parser> parser;
        if (!read_request(parser)) {
            return false;
        }
        const bool keep_alive = parser->get().keep_alive();
        auto received = Protocol::read_request(parser->release(), now());
        parser.reset();
        if (const auto* refused = std::get_if<refused_request>(&received)) {
            log_refused({}, refused->status, refused->reason);
            return write(Protocol::failure_bytes(refused->status, refused->reason, keep_alive)) &&
                   keep_alive;
        }
        return answer(std::move(std::get<received_request>(received)), keep_alive);
    }

    /// Reads one request into `parser`. False if the connection is to be closed.
    bool read_request(std::optional<request_parser>& parser) {
        const auto limit = limits();
        auto until = now() + limit.idle_timeout;
        bool begun = false;
        parser.emplace();
        parser->eager(true);
        parser->header_limit(limit.max_header_bytes);
        parser->body_limit(limit.max_body_bytes);
        idle_ = true;
        while (true) {
            if (buffer_.size() > 0) {
                if (!begun) {
                    begun = true;
                    idle_ = false;
                    until = now() + limit.header_timeout;
                }
                if (!feed(*parser)) {
                    return false;
                }
                if (parser->is_done()) {
                    return true;
                }
                if (parser->is_header_done()) {
                    send_continue(*parser);
                    until = std::max(until, now() + limit.header_timeout);
                }
            }
            read_more();
            auto next = events_.pop_until(until);
            if (!next) {
                if (begun) {
                    reject(request_timeout, "the request did not arrive in time");
                }
                return false;
            }
            if (next->kind == event_kind::closed ||
                (next->kind == event_kind::stop && !begun && buffer_.size() == 0)) {
                return false;
            }
            if (next->kind == event_kind::bytes) {
                buffer_.commit(next->bytes);
            }
        }
    }

    /// Passes the bytes that have arrived to the parser. False if they are not a request.
    bool feed(request_parser& parser) {
        namespace http = boost::beast::http;
        error_code ec;
        const auto used = parser.put(buffer_.data(), ec);
        buffer_.consume(used);
        if (!ec || ec == http::error::need_more) {
            return true;
        }
        if (ec == http::error::header_limit) {
            reject(header_too_large, "the header is too large");
        } else if (ec == http::error::body_limit) {
            reject(body_too_large, "the body is too large");
        } else {
            reject(bad_request, "not an HTTP request: " + ec.message());
        }
        return false;
    }

    void send_continue(request_parser& parser) {
        namespace http = boost::beast::http;
        if (continued_ ||
            !boost::beast::iequals(parser.get()[http::field::expect], "100-continue")) {
            return;
        }
        continued_ = true;
        write("HTTP/1.1 100 Continue\r\n\r\n");
    }

    void reject(unsigned status, const std::string& reason) {
        log_refused({}, status, reason);
        write(Protocol::failure_bytes(status, reason, false));
    }

    /// Decides on a request and answers it. False if the connection is to be closed.
    bool answer(received_request received, bool keep_alive) {
        continued_ = false;
        const auto began = received.request.received;
        const auto id = received.request.id;
        const auto view = wait_for_configuration();
        if (view->configuration == nullptr) {
            return refuse(id, unavailable, "no configuration is known yet", keep_alive);
        }
        const auto* route = view->routes.find(received.request.host, received.request.target);
        if (route == nullptr) {
            // A newer configuration may have the route.
            return view->store_reached ? refuse(id, not_found, "no route fits", keep_alive)
                                       : refuse(id, unavailable, "no known route fits", keep_alive);
        }
        const auto request = proxied_request<Protocol>::create(
            *shared_, view, *route, std::move(received),
            [self = this->shared_from_this()](gateway::gateway_answer answer) {
                self->events_.push(event{event_kind::answered, 0, std::move(answer)});
            });
        ++shared_->open_requests;
        const bool kept = serve_request(*request, began, keep_alive);
        --shared_->open_requests;
        return kept;
    }

    /// The view, after a short wait if there is no configuration yet: an instance that starts reads
    /// it within some ms, while the client would come back much later.
    std::shared_ptr<const gateway::fleet_view> wait_for_configuration() {
        constexpr auto longest = std::chrono::milliseconds{150};
        constexpr auto interval = std::chrono::milliseconds{5};
        const auto until = now() + longest;
        auto view = shared_->view->read();
        while (view->configuration == nullptr && now() < until) {
            boost::this_fiber::sleep_for(interval);
            view = shared_->view->read();
        }
        return view;
    }

    bool serve_request(proxied_request<Protocol>& request, kernel::time_point began,
                       bool keep_alive) {
        request.start();
        while (true) {
            if (buffer_.size() == 0) {
                read_more();
            }
            auto next = events_.pop_until(kernel::time_point::max());
            if (next->kind == event_kind::bytes) {
                buffer_.commit(next->bytes);
                continue;
            }
            if (next->kind == event_kind::stop) {
                continue;
            }
            if (next->kind == event_kind::closed) {
                request.on_client_disconnected();
                shared_->answers.add("client_gone");
                log_client_gone(request.request(), request.request_route(), request.summary(),
                                now() - began);
                return false;
            }
            const bool kept = keep_alive && !shared_->stopping;
            const auto elapsed = now() - began;
            shared_->latencies.record(elapsed);
            shared_->answers.add(to_string(next->answer->kind));
            const bool written =
                write(Protocol::answer_bytes(*next->answer, request.request().id, kept));
            request.on_answer_written();
            log_answer(request.request(), request.request_route(), *next->answer, elapsed);
            return written && kept;
        }
    }

    bool refuse(const std::string& id, unsigned status, const std::string& reason,
                bool keep_alive) {
        const bool kept = keep_alive && !shared_->stopping;
        shared_->answers.add(std::to_string(status));
        log_refused(id, status, reason);
        return write(Protocol::failure_bytes(status, reason, kept)) && kept;
    }

    /// False if the client has gone or does not read.
    bool write(const std::string& bytes) {
        error_code ec;
        // Most answers fit into the send buffer, which saves the wait.
        const auto sent = socket_.write_some(boost::asio::buffer(bytes), ec);
        if (!ec && sent == bytes.size()) {
            return true;
        }
        if (ec && ec != boost::asio::error::would_block) {
            return false;
        }
        return write_rest(bytes, ec ? 0 : sent);
    }

    bool write_rest(const std::string& bytes, std::size_t sent) {
        struct progress {
            runtime::mailbox<bool> ended;
            std::string rest;
        };
        const auto state = std::make_shared<progress>();
        state->rest = bytes.substr(sent);
        boost::asio::async_write(
            socket_, boost::asio::buffer(state->rest),
            [state](const error_code& ec, std::size_t) { state->ended.push(!ec); });
        const auto ended = state->ended.pop_until(now() + limits().idle_timeout);
        return ended.value_or(false);
    }

    /// Closes without resetting the connection, which could take the last answer from the client.
    void close() {
        error_code ignored;
        socket_.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
        constexpr auto linger = std::chrono::milliseconds{300};
        const auto until = now() + linger;
        while (!at_end_) {
            buffer_.consume(buffer_.size());
            read_more();
            if (!events_.pop_until(until)) {
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

    std::shared_ptr<traffic_context<Protocol>> shared_;
    boost::asio::ip::tcp::socket socket_;
    boost::beast::flat_buffer buffer_;
    runtime::mailbox<event> events_;
    bool reading_ = false;
    bool at_end_ = false;
    bool idle_ = false;
    bool continued_ = false;
};

}  // namespace poplarfront::proxy
