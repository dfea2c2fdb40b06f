#include "runtime/http_server.h"

#include <sys/socket.h>

#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/fiber/operations.hpp>
#include <list>

#include "runtime/await.h"
#include "runtime/endpoint.h"

namespace poplarfront::runtime {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;
using reuse_port = asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;

http::response<http::string_body> to_message(const http_response& response, bool keep_alive) {
    http::response<http::string_body> message{static_cast<http::status>(response.status), 11};
    message.set(http::field::content_type, response.content_type);
    if (!response.etag.empty()) {
        message.set(http::field::etag, response.etag);
    }
    message.keep_alive(keep_alive);
    message.body() = response.body;
    message.prepare_payload();
    return message;
}

http_request from_message(http::request<http::string_body> message) {
    return {std::string{message.method_string()}, std::string{message.target()},
            std::move(message.body()), std::string{message[http::field::if_match]}};
}

http_response parse_error_response(const beast::error_code& ec) {
    constexpr unsigned bad_request = 400;
    constexpr unsigned payload_too_large = 413;
    const bool too_large = ec == http::error::body_limit;
    return {too_large ? payload_too_large : bad_request,
            std::string{R"({"error":{"type":")"} + (too_large ? "body_too_large" : "bad_http") +
                R"(","field":"","message":")" + ec.message() + R"(","not_run":true}})",
            "", "application/json"};
}

/// Whether the read failed because the request is invalid, rather than because of the connection.
bool is_invalid_request(const beast::error_code& ec) {
    return ec.category() == make_error_code(http::error::bad_method).category() &&
           ec != http::error::end_of_stream && ec != http::error::partial_message;
}

}  // namespace

class http_server::implementation : public std::enable_shared_from_this<implementation> {
public:
    implementation(std::shared_ptr<fiber_thread> thread, http_server_options options,
                   http_handler handler)
        : thread_(std::move(thread)),
          options_(std::move(options)),
          handler_(std::move(handler)),
          acceptor_(thread_->context()) {}

    kernel::result<void> listen() {
        const auto endpoint = parse_endpoint(options_.address);
        if (!endpoint) {
            return boost::leaf::new_error(
                listen_error{options_.address, "not of the form IP:PORT"});
        }
        boost::system::error_code ec;
        acceptor_.open(endpoint->protocol(), ec);
        if (!ec) {
            acceptor_.set_option(tcp::acceptor::reuse_address(true), ec);
        }
        if (!ec) {
            acceptor_.set_option(reuse_port(true), ec);
        }
        if (!ec) {
            acceptor_.bind(*endpoint, ec);
        }
        if (!ec) {
            acceptor_.listen(asio::socket_base::max_listen_connections, ec);
        }
        if (ec) {
            return boost::leaf::new_error(listen_error{options_.address, ec.message()});
        }
        port_ = acceptor_.local_endpoint().port();
        thread_->spawn([self = shared_from_this()] { self->accept_loop(); });
        return {};
    }

    [[nodiscard]] unsigned short port() const { return port_; }
    [[nodiscard]] std::size_t connections() const { return open_connections_; }

    void stop(kernel::duration timeout) {
        thread_->run([self = shared_from_this(), timeout] { self->drain(timeout); });
    }

    void abort() {
        thread_->spawn([self = shared_from_this()] { self->close_all(); });
    }

private:
    struct connection {
        beast::tcp_stream stream;
        bool busy = false;
    };
    using connection_list = std::list<std::shared_ptr<connection>>;

    void accept_loop() {
        ++running_fibers_;
        while (!stopping_) {
            tcp::socket socket{thread_->context()};
            const auto [ec] = await([&](auto handler) { acceptor_.async_accept(socket, handler); });
            if (ec == asio::error::operation_aborted) {
                break;
            }
            if (ec) {
                // An error such as a lack of file descriptors persists until connections close, so
                // the next attempt waits instead of spinning.
                constexpr auto retry_delay = std::chrono::milliseconds{20};
                boost::this_fiber::sleep_for(retry_delay);
                continue;
            }
            if (stopping_ || open_connections_ >= options_.max_connections) {
                continue;
            }
            beast::error_code ignored;
            socket.set_option(tcp::no_delay(true), ignored);
            ++open_connections_;
            auto accepted =
                std::make_shared<connection>(connection{beast::tcp_stream{std::move(socket)}});
            thread_->spawn([self = shared_from_this(), accepted] { self->serve(accepted); });
        }
        --running_fibers_;
    }

    void serve(const std::shared_ptr<connection>& served) {
        ++running_fibers_;
        const auto position = connections_.insert(connections_.end(), served);
        if (options_.accept_delay > kernel::duration::zero()) {
            boost::this_fiber::sleep_for(options_.accept_delay);
        }
        // Limits what the parser cannot consume yet, such as an incomplete chunk header.
        constexpr std::size_t max_buffer_bytes = std::size_t{64} * 1024;
        beast::flat_buffer buffer{max_buffer_bytes};
        while (!stopping_ && serve_one(*served, buffer)) {
        }
        beast::error_code ec;
        served->stream.socket().shutdown(tcp::socket::shutdown_both, ec);
        served->stream.close();
        connections_.erase(position);
        --open_connections_;
        --running_fibers_;
    }

    bool serve_one(connection& served, beast::flat_buffer& buffer) {
        http::request_parser<http::string_body> parser;
        parser.body_limit(max_request_body_bytes);
        served.stream.expires_after(options_.idle_timeout);
        const auto [ec, n] = await<std::size_t>(
            [&](auto handler) { http::async_read(served.stream, buffer, parser, handler); });
        if (ec) {
            if (is_invalid_request(ec)) {
                write(served, parse_error_response(ec), false);
            }
            return false;
        }
        served.busy = true;
        const bool keep_alive = parser.get().keep_alive();
        const auto response = handler_(from_message(parser.release()));
        if (response.status == close_without_response) {
            served.busy = false;
            return false;
        }
        const bool written = write(served, response, keep_alive && !stopping_);
        served.busy = false;
        return written && keep_alive;
    }

    bool write(connection& served, const http_response& response, bool keep_alive) {
        const auto message = to_message(response, keep_alive);
        served.stream.expires_after(options_.idle_timeout);
        const auto [ec, n] = await<std::size_t>(
            [&](auto handler) { http::async_write(served.stream, message, handler); });
        return !ec;
    }

    void drain(kernel::duration timeout) {
        constexpr auto poll_interval = std::chrono::milliseconds{5};
        stopping_ = true;
        beast::error_code ec;
        acceptor_.close(ec);
        const auto drain_deadline = std::chrono::steady_clock::now() + timeout;
        while (running_fibers_ > 0 && std::chrono::steady_clock::now() < drain_deadline) {
            cancel_io([](const connection& conn) { return !conn.busy; });
            boost::this_fiber::sleep_for(poll_interval);
        }
        cancel_io([](const connection&) { return true; });
        const auto close_deadline = std::chrono::steady_clock::now() + std::chrono::seconds{1};
        while (running_fibers_ > 0 && std::chrono::steady_clock::now() < close_deadline) {
            boost::this_fiber::sleep_for(poll_interval);
        }
    }

    void close_all() {
        stopping_ = true;
        beast::error_code ignored;
        acceptor_.close(ignored);
        for (const auto& conn : connections_) {
            conn->stream.close();
        }
    }

    template <class Predicate>
    void cancel_io(Predicate predicate) {
        for (const auto& conn : connections_) {
            if (predicate(*conn)) {
                conn->stream.cancel();
            }
        }
    }

    std::shared_ptr<fiber_thread> thread_;
    http_server_options options_;
    http_handler handler_;
    tcp::acceptor acceptor_;
    unsigned short port_ = 0;
    std::atomic<std::size_t> open_connections_ = 0;
    std::size_t running_fibers_ = 0;
    bool stopping_ = false;
    connection_list connections_;
};

kernel::result<std::unique_ptr<http_server>> http_server::create(
    std::shared_ptr<fiber_thread> thread, http_server_options options, http_handler handler) {
    auto created =
        std::make_shared<implementation>(std::move(thread), std::move(options), std::move(handler));
    BOOST_LEAF_CHECK(created->listen());
    return std::unique_ptr<http_server>(new http_server(std::move(created)));
}

http_server::http_server(std::shared_ptr<implementation> implementation)
    : implementation_(std::move(implementation)) {}

http_server::~http_server() = default;

unsigned short http_server::port() const {
    return implementation_->port();
}

std::size_t http_server::connections() const {
    return implementation_->connections();
}

void http_server::stop(kernel::duration timeout) {
    implementation_->stop(timeout);
}

void http_server::abort() {
    implementation_->abort();
}

}  // namespace poplarfront::runtime
