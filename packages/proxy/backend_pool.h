#pragma once

#include <spdlog/spdlog.h>
#include <sys/socket.h>

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/read.hpp>
#include <cerrno>
#include <charconv>
#include <map>
#include <memory>
#include <set>
#include <string_view>
#include <utility>
#include <vector>

#include "gateway/backend_entry.h"
#include "gateway/incomplete_replies.h"
#include "proxy/backend_connection.h"
#include "proxy/backend_pool_options.h"
#include "runtime/endpoint.h"

namespace poplarfront::proxy {

/// Connections to backend servers and the calls on them. A connection carries one call at a time.
/// It is reused only after a complete reply that no further bytes follow.
///
/// Thread safety: none; all members are called on the thread that runs `context`.
template <gateway_protocol Protocol>
class backend_pool {
public:
    /// Identifies a call until it ends. After that its connection may carry another call.
    using call_handle = std::weak_ptr<backend_connection>;

    struct connection_counters {
        std::uint64_t opened = 0;
        std::uint64_t reused = 0;
        /// Refused or failed connects, without those that timed out.
        std::uint64_t connect_errors = 0;
        friend auto operator<=>(const connection_counters&, const connection_counters&) = default;
    };

    explicit backend_pool(boost::asio::io_context& context, backend_pool_options options = {})
        : context_(context),
          options_(options),
          deadline_check_timer_(context),
          idle_check_timer_(context),
          incomplete_replies_(options.max_incomplete_reply_bytes) {}

    /// Starts a call; its result arrives later through `call.on_result`. `earlier_attempts`: the
    /// earlier calls of the same request. Their connections are not used again for it: a second
    /// copy of their reply, which has the same request id, would be taken for the reply to this
    /// call.
    call_handle start(const gateway::backend_entry& backend, backend_call call,
                      const std::vector<call_handle>& earlier_attempts = {}) {
        if (auto idle = take_idle_connection(backend.id, earlier_attempts)) {
            ++counters_.reused;
            idle->call = std::move(call);
            busy_.insert(idle);
            start_exchange(idle);
            schedule_deadline_check();
            return idle;
        }
        auto connection = std::make_shared<backend_connection>(context_);
        connection->server = backend.id;
        connection->call = std::move(call);
        connection->connect_deadline =
            std::min(connection->call->deadline,
                     kernel::time_point::clock::now() + options_.connect_timeout);
        busy_.insert(connection);
        connect(connection, backend.address);
        schedule_deadline_check();
        return connection;
    }

    /// Cancels a call and closes its connection. Its handler is not called. Precondition: the call
    /// has not ended.
    void cancel(const call_handle& handle) {
        if (const auto connection = handle.lock(); connection != nullptr && connection->call) {
            connection->call.reset();
            close_connection(connection);
        }
    }

    /// Opens a connection without a call, which shows whether the backend server accepts
    /// connections. It is kept as an idle connection. `on_result` is called once, later.
    void probe(const gateway::backend_entry& backend,
               std::function<void(bool accepts_connections)> on_result) {
        const auto endpoint = runtime::parse_endpoint(backend.address);
        if (!endpoint) {
            boost::asio::post(context_, [on_result = std::move(on_result)] { on_result(false); });
            return;
        }
        const auto connection = std::make_shared<backend_connection>(context_);
        connection->server = backend.id;
        const auto timeout =
            std::make_shared<boost::asio::steady_timer>(context_, options_.connect_timeout);
        timeout->async_wait([connection](const error_code& ec) {
            if (!ec) {
                close_socket(*connection);
            }
        });
        connection->socket.async_connect(
            *endpoint,
            [this, connection, timeout, on_result = std::move(on_result)](const error_code& ec) {
                timeout->cancel();
                if (!ec) {
                    keep_probed_connection(connection);
                }
                on_result(!ec);
            });
    }

    /// Closes the idle connections to the backend servers for which `keep` returns false.
    template <std::predicate<const model::server_id&> Keep>
    void retain_idle(const Keep& keep) {
        std::erase_if(idle_, [&](const auto& it) { return !keep(it.first); });
    }

    /// Closes all connections, without calling the handlers of their calls. Precondition: nothing
    /// is started afterwards.
    void close() {
        closed_ = true;
        deadline_check_timer_.cancel();
        idle_check_timer_.cancel();
        idle_.clear();
        incomplete_replies_.clear();
        const auto busy = std::exchange(busy_, {});
        for (const auto& it : busy) {
            it->call.reset();
            close_socket(*it);
        }
    }

    [[nodiscard]] const connection_counters& counters() const { return counters_; }
    [[nodiscard]] std::size_t connection_count() const {
        std::size_t n = busy_.size();
        for (const auto& [id, connections] : idle_) {
            n += connections.size();
        }
        return n;
    }

private:
    using connection_ptr = std::shared_ptr<backend_connection>;
    using error_code = boost::system::error_code;

    static kernel::time_point now() { return kernel::time_point::clock::now(); }

    /// The usable connection to `server` that was used last, except those of `excluded`.
    connection_ptr take_idle_connection(const model::server_id& server,
                                        const std::vector<call_handle>& excluded) {
        const auto found = idle_.find(server);
        if (found == idle_.end()) {
            return nullptr;
        }
        auto& connections = found->second;
        for (auto n = connections.size(); n > 0; --n) {
            const auto it = connections.begin() + static_cast<std::ptrdiff_t>(n - 1);
            if (contains(excluded, *it)) {
                continue;
            }
            auto last = std::move(*it);
            connections.erase(it);
            if (now() < last->usable_until && has_no_pending_input(*last)) {
                return last;
            }
            close_socket(*last);
        }
        return nullptr;
    }

    static bool contains(const std::vector<call_handle>& handles,
                         const connection_ptr& connection) {
        return std::any_of(handles.begin(), handles.end(), [&](const auto& it) {
            return !it.owner_before(connection) && !connection.owner_before(it);
        });
    }

    /// Whether an idle connection is still open and has no unread input, which would belong to no
    /// request.
    static bool has_no_pending_input(backend_connection& idle) {
        char byte = 0;
        const auto n = ::recv(idle.socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
    }

    void connect(const connection_ptr& connection, const std::string& address) {
        const auto endpoint = runtime::parse_endpoint(address);
        if (!endpoint) {
            boost::asio::post(context_, [this, connection] {
                end_call(connection, {gateway::attempt_end::not_sent, {}});
            });
            return;
        }
        connection->socket.async_connect(*endpoint, [this, connection](const error_code& ec) {
            if (!connection->call) {
                return;
            }
            if (ec) {
                ++counters_.connect_errors;
                end_call(connection, {gateway::attempt_end::not_sent, {}});
                return;
            }
            on_connected(*connection);
            start_exchange(connection);
        });
    }

    void on_connected(backend_connection& connection) {
        ++counters_.opened;
        connection.connected = true;
        error_code ignored;
        connection.socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
    }

    void keep_probed_connection(const connection_ptr& connection) {
        if (closed_) {
            close_socket(*connection);
            return;
        }
        on_connected(*connection);
        connection->usable_until = now() + options_.default_idle_timeout;
        idle_[connection->server].push_back(connection);
        schedule_idle_check();
    }

    void start_exchange(const connection_ptr& connection) {
        connection->written = false;
        // Most replies fit into this size and are received in one read.
        constexpr std::size_t initial_buffer_bytes = 2048;
        connection->buffer.reserve(initial_buffer_bytes);
        connection->parser.emplace();
        connection->parser->eager(true);
        connection->parser->body_limit(connection->call->fields == reply_fields::none
                                           ? options_.max_part_body_bytes
                                           : options_.max_reply_body_bytes);
        if (connection->call->without_reply_body) {
            connection->parser->skip(true);
        }
        boost::asio::async_write(
            connection->socket, boost::asio::buffer(connection->call->request_bytes),
            [this, connection](const error_code& ec, std::size_t) { connection->written = !ec; });
        read_some(connection);
    }

    void read_some(const connection_ptr& connection) {
        boost::beast::http::async_read_some(
            connection->socket, connection->buffer, *connection->parser,
            [this, connection](const error_code& ec, std::size_t) { on_read(connection, ec); });
    }

    void on_read(const connection_ptr& connection, const error_code& ec) {
        if (!connection->call) {
            return;
        }
        if (ec) {
            end_call(connection, {end_of_failed_read(ec), {}});
            return;
        }
        if (connection->parser->is_done()) {
            on_reply_received(connection);
            return;
        }
        limit_incomplete_replies(connection);
        if (connection->call) {
            read_some(connection);
        }
    }

    /// Gives replies up until all incomplete ones are within their limit, after more of one of them
    /// has been received.
    void limit_incomplete_replies(const connection_ptr& receiving) {
        while (receiving->call) {
            const auto largest =
                incomplete_replies_.on_received(receiving, receiving->parser->get().body().size());
            if (!largest) {
                return;
            }
            const auto& given_up = *largest;
            spdlog::warn("event=reply_given_up request={} server={} bytes={} incomplete_bytes={}",
                         given_up->call->request_id, given_up->server.text(),
                         given_up->parser->get().body().size(), incomplete_replies_.total_bytes());
            end_call(given_up, {gateway::attempt_end::malformed, {}});
        }
    }

    void on_reply_received(const connection_ptr& connection) {
        auto message = connection->parser->release();
        const bool reusable = message.keep_alive() && connection->written &&
                              connection->buffer.size() == 0 && !message.need_eof();
        incomplete_replies_.remove(connection);
        connection->usable_until = now() + idle_timeout(message);
        auto reply = Protocol::decode_backend_reply(
            std::move(message), connection->call->request_id, connection->call->fields);
        if (!reply) {
            end_call(connection, {gateway::attempt_end::malformed, {}});
            return;
        }
        auto call = std::move(*connection->call);
        connection->call.reset();
        if (reusable) {
            busy_.erase(connection);
            idle_[connection->server].push_back(connection);
            schedule_idle_check();
        } else {
            close_connection(connection);
        }
        call.on_result({gateway::attempt_end::replied, std::move(*reply)});
    }

    static gateway::attempt_end end_of_failed_read(const error_code& ec) {
        using boost::beast::http::error;
        const bool parse_error = ec.category() == make_error_code(error::bad_version).category();
        const bool closed =
            !parse_error || ec == error::end_of_stream || ec == error::partial_message;
        return closed ? gateway::attempt_end::lost : gateway::attempt_end::malformed;
    }

    [[nodiscard]] kernel::duration idle_timeout(const http_response& message) const {
        constexpr std::string_view timeout_parameter = "timeout=";
        const std::string_view field{message[boost::beast::http::field::keep_alive].data(),
                                     message[boost::beast::http::field::keep_alive].size()};
        const auto timeout_start = field.find(timeout_parameter);
        if (timeout_start == std::string_view::npos) {
            return options_.default_idle_timeout;
        }
        const auto text = field.substr(timeout_start + timeout_parameter.size());
        int seconds = 0;
        std::from_chars(text.data(), text.data() + text.size(), seconds);
        return std::max(
            kernel::duration{std::chrono::seconds{seconds}} - options_.idle_timeout_margin,
            kernel::duration::zero());
    }

    void end_call(const connection_ptr& connection, gateway::attempt_result result) {
        auto call = std::move(*connection->call);
        connection->call.reset();
        close_connection(connection);
        call.on_result(std::move(result));
    }

    void close_connection(const connection_ptr& connection) {
        busy_.erase(connection);
        incomplete_replies_.remove(connection);
        close_socket(*connection);
    }

    static void close_socket(backend_connection& connection) {
        error_code ignored;
        connection.socket.close(ignored);
    }

    void schedule_idle_check() {
        if (idle_check_scheduled_) {
            return;
        }
        idle_check_scheduled_ = true;
        idle_check_timer_.expires_after(options_.idle_check_interval);
        idle_check_timer_.async_wait([this](const error_code& ec) {
            idle_check_scheduled_ = false;
            if (!ec) {
                close_unusable_idle_connections();
            }
        });
    }

    void close_unusable_idle_connections() {
        const auto check_time = now();
        for (auto& [server, connections] : idle_) {
            std::erase_if(connections, [&](const auto& it) {
                return check_time >= it->usable_until || !has_no_pending_input(*it);
            });
        }
        std::erase_if(idle_, [](const auto& it) { return it.second.empty(); });
        if (!idle_.empty()) {
            schedule_idle_check();
        }
    }

    void schedule_deadline_check() {
        if (check_scheduled_) {
            return;
        }
        check_scheduled_ = true;
        deadline_check_timer_.expires_after(options_.deadline_check_interval);
        deadline_check_timer_.async_wait([this](const error_code& ec) {
            check_scheduled_ = false;
            if (!ec) {
                end_overdue_calls();
            }
        });
    }

    void end_overdue_calls() {
        const auto check_time = now();
        std::vector<connection_ptr> overdue;
        for (const auto& it : busy_) {
            const bool reply_overdue =
                check_time >= it->call->deadline + options_.reply_grace_period;
            if (reply_overdue || (!it->connected && check_time >= it->connect_deadline)) {
                overdue.push_back(it);
            }
        }
        for (const auto& it : overdue) {
            if (!it->call) {
                continue;
            }
            // Other connections to a backend server that does not reply may be dead too.
            idle_.erase(it->server);
            end_call(it, {it->connected ? gateway::attempt_end::timed_out
                                        : gateway::attempt_end::not_sent,
                          {}});
        }
        if (!busy_.empty()) {
            schedule_deadline_check();
        }
    }

    boost::asio::io_context& context_;
    backend_pool_options options_;
    boost::asio::steady_timer deadline_check_timer_;
    boost::asio::steady_timer idle_check_timer_;
    gateway::incomplete_replies<connection_ptr> incomplete_replies_;
    bool closed_ = false;
    bool check_scheduled_ = false;
    bool idle_check_scheduled_ = false;
    std::map<model::server_id, std::vector<connection_ptr>> idle_;
    std::set<connection_ptr> busy_;
    connection_counters counters_;
};

}  // namespace poplarfront::proxy
