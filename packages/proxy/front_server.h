#pragma once

#include <sys/socket.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/fiber/operations.hpp>
#include <concepts>
#include <future>
#include <memory>
#include <set>
#include <string>
#include <utility>

#include "kernel/result.h"
#include "proxy/client_connection.h"
#include "proxy/front_server_options.h"
#include "proxy/traffic_context.h"
#include "runtime/await.h"
#include "runtime/endpoint.h"
#include "runtime/http_server.h"

namespace poplarfront::proxy {

/// Accepts client connections on one traffic thread.
///
/// Thread safety: all members may be called from any thread but the traffic thread.
template <gateway_protocol Protocol>
class front_server : public std::enable_shared_from_this<front_server<Protocol>> {
public:
    static std::shared_ptr<front_server> create(std::shared_ptr<traffic_context<Protocol>> context,
                                                front_server_options options) {
        return std::shared_ptr<front_server>(
            new front_server(std::move(context), std::move(options)));
    }

    /// Binds and listens. Errors: runtime::listen_error.
    kernel::result<void> start() {
        const auto endpoint = runtime::parse_endpoint(options_.address);
        if (!endpoint) {
            return boost::leaf::new_error(
                runtime::listen_error{options_.address, "is not of the form IP:PORT"});
        }
        boost::system::error_code ec;
        acceptor_.open(endpoint->protocol(), ec);
        if (!ec) {
            acceptor_.set_option(boost::asio::ip::tcp::acceptor::reuse_address(true), ec);
        }
        if (!ec && options_.share_address) {
            using reuse_port =
                boost::asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;
            acceptor_.set_option(reuse_port(true), ec);
        }
        if (!ec) {
            acceptor_.bind(*endpoint, ec);
        }
        if (!ec) {
            acceptor_.listen(boost::asio::socket_base::max_listen_connections, ec);
        }
        if (ec) {
            return boost::leaf::new_error(runtime::listen_error{options_.address, ec.message()});
        }
        context_->thread->spawn([self = this->shared_from_this()] { self->accept_loop(); });
        return {};
    }

    /// Without a stop delay, closes the listener, the idle client connections and the connections
    /// to backend servers. Used after the start of the module has failed.
    void stop_immediately() {
        context_->thread->run([self = this->shared_from_this()] {
            boost::system::error_code ignored;
            self->acceptor_.close(ignored);
            const auto open = self->connections_;
            for (const auto& it : open) {
                it->close_if_idle();
            }
            self->context_->pool.close();
        });
    }

    /// Begins a stop and returns at once. Connections and requests are accepted during the stop
    /// delay. Then the listener and the idle client connections are closed, and requests that are
    /// read later are refused. When the open requests and delegated gathers have ended or
    /// `drain_timeout` has expired, open requests are answered and the connections to backend
    /// servers are closed.
    void begin_stop() {
        context_->thread->spawn([self = this->shared_from_this()] {
            self->drain();
            self->drained_.set_value();
        });
    }

    /// Waits for the end of the stop. Precondition: begin_stop() has been called, and stop() has
    /// not.
    void stop() { drained_.get_future().wait(); }

private:
    using connection = client_connection<Protocol>;

    front_server(std::shared_ptr<traffic_context<Protocol>> context, front_server_options options)
        : context_(std::move(context)),
          options_(std::move(options)),
          acceptor_(context_->thread->context()) {}

    void accept_loop() {
        while (acceptor_.is_open()) {
            boost::asio::ip::tcp::socket socket{context_->thread->context()};
            const auto [ec] =
                runtime::await([&](auto handler) { acceptor_.async_accept(socket, handler); });
            if (ec == boost::asio::error::operation_aborted) {
                return;
            }
            if (ec) {
                // Probably no file descriptors are left. Waits for connections to close instead of
                // retrying in a busy loop.
                constexpr auto retry_delay = std::chrono::milliseconds{20};
                boost::this_fiber::sleep_for(retry_delay);
                continue;
            }
            if (connections_.size() < options_.max_connections) {
                serve(std::make_shared<connection>(context_, std::move(socket)));
            }
        }
    }

    void serve(const std::shared_ptr<connection>& accepted) {
        connections_.insert(accepted);
        context_->thread->spawn([self = this->shared_from_this(), accepted] {
            accepted->serve();
            self->connections_.erase(accepted);
        });
    }

    void drain() {
        constexpr auto check_interval = std::chrono::milliseconds{20};
        const auto stop_begin = kernel::time_point::clock::now();
        boost::this_fiber::sleep_until(stop_begin + options_.stop_delay);
        boost::system::error_code ignored;
        acceptor_.close(ignored);
        context_->refuses_requests = true;
        const auto drain_deadline = stop_begin + options_.drain_timeout;
        const auto is_open = [&] {
            return !connections_.empty() || context_->open_delegated_gathers > 0;
        };
        while (is_open() && kernel::time_point::clock::now() < drain_deadline) {
            for_each_connection([](auto& it) { it.close_if_idle(); });
            boost::this_fiber::sleep_for(check_interval);
        }
        for_each_connection([](auto& it) { it.expire_request(); });
        const auto write_deadline = kernel::time_point::clock::now() + options_.last_answer_timeout;
        while (!connections_.empty() && kernel::time_point::clock::now() < write_deadline) {
            boost::this_fiber::sleep_for(check_interval);
        }
        context_->pool.close();
    }

    /// `action` may cause connections to end.
    template <std::invocable<connection&> Action>
    void for_each_connection(const Action& action) {
        const auto open = connections_;
        for (const auto& it : open) {
            action(*it);
        }
    }

    std::shared_ptr<traffic_context<Protocol>> context_;
    front_server_options options_;
    boost::asio::ip::tcp::acceptor acceptor_;
    std::set<std::shared_ptr<connection>> connections_;
    std::promise<void> drained_;
};

}  // namespace poplarfront::proxy
