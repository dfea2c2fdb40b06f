#include "runtime/http_client.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>
#include <map>
#include <mutex>
#include <set>
#include <vector>

#include "runtime/await.h"
#include "runtime/endpoint.h"

namespace poplarfront::runtime {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

/// Limit of what the parser cannot consume yet, such as an incomplete chunk header.
constexpr std::size_t max_buffer_bytes = std::size_t{64} * 1024;

struct connection {
    beast::tcp_stream stream;
    beast::flat_buffer buffer;
};

/// The connections to one address.
struct connection_pool {
    boost::fibers::mutex mutex;
    boost::fibers::condition_variable released;
    std::vector<std::unique_ptr<connection>> idle;
    std::size_t open = 0;
};

/// Whether the server has kept the idle connection open and has sent nothing on it. A request sent
/// on a closed connection would end as `connection_lost`, as if the server might have executed it.
bool is_usable(connection& idle) {
    char byte = 0;
    const auto n = ::recv(idle.stream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

http::request<http::string_body> to_message(const std::string& address,
                                            const http_request& request) {
    http::request<http::string_body> message{http::string_to_verb(request.method), request.target,
                                             11};
    message.set(http::field::host, address);
    message.set(http::field::content_type, "application/json");
    if (!request.if_match.empty()) {
        message.set(http::field::if_match, request.if_match);
    }
    message.body() = request.body;
    message.prepare_payload();
    return message;
}

/// Makes the operating system close a connection within 3 s after its peer has stopped responding,
/// also while a call waits for a late response.
void enable_keepalive(tcp::socket& socket) {
    constexpr int probe_interval_s = 1;
    constexpr int max_unanswered_probes = 2;
    constexpr int max_unacknowledged_ms = 3000;
    using keepalive_idle = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPIDLE>;
    using keepalive_interval = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPINTVL>;
    using keepalive_count = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPCNT>;
    using user_timeout = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
    beast::error_code ignored;
    socket.set_option(asio::socket_base::keep_alive(true), ignored);
    socket.set_option(keepalive_idle(probe_interval_s), ignored);
    socket.set_option(keepalive_interval(probe_interval_s), ignored);
    socket.set_option(keepalive_count(max_unanswered_probes), ignored);
    socket.set_option(user_timeout(max_unacknowledged_ms), ignored);
}

call_status to_call_status(const beast::error_code& ec) {
    if (ec == http::error::body_limit) {
        return call_status::response_too_large;
    }
    return ec == beast::error::timeout ? call_status::timed_out : call_status::connection_lost;
}

}  // namespace

class http_client::implementation {
public:
    explicit implementation(std::shared_ptr<fiber_thread> thread) : thread_(std::move(thread)) {}

    call_result call(const std::string& address, const http_request& request,
                     kernel::time_point deadline, std::size_t max_connections) {
        ++counters_.calls;
        if (aborted_) {
            return {call_status::not_sent, {}};
        }
        auto& entry = pools_[address];
        if (entry == nullptr) {
            entry = std::make_shared<connection_pool>();
        }
        const auto pool = entry;
        auto connected = acquire(*pool, address, deadline, max_connections);
        if (connected == nullptr) {
            return {call_status::not_sent, {}};
        }
        in_use_.insert(&connected->stream);
        auto [result, reusable] = exchange(*connected, address, request, deadline);
        in_use_.erase(&connected->stream);
        release(*pool, std::move(connected), reusable);
        return std::move(result);
    }

    void abort() {
        aborted_ = true;
        cancel_calls();
    }

    void cancel_calls() {
        const auto streams = in_use_;
        for (auto* stream : streams) {
            stream->close();
        }
    }

    [[nodiscard]] call_counters counters() const { return counters_; }

private:
    struct exchange_result {
        call_result result;
        bool reusable = false;
    };

    /// A connection that is ready to use; null if none is free before the deadline or a new one
    /// cannot be opened.
    std::unique_ptr<connection> acquire(connection_pool& pool, const std::string& address,
                                        kernel::time_point deadline, std::size_t max_connections) {
        {
            std::unique_lock lock{pool.mutex};
            const bool available = pool.released.wait_until(
                lock, deadline, [&] { return !pool.idle.empty() || pool.open < max_connections; });
            if (!available) {
                return nullptr;
            }
            while (!pool.idle.empty()) {
                auto idle = std::move(pool.idle.back());
                pool.idle.pop_back();
                if (is_usable(*idle)) {
                    return idle;
                }
                --pool.open;
            }
            ++pool.open;
        }
        auto opened = open(address, deadline);
        if (opened == nullptr) {
            release(pool, nullptr, false);
        }
        return opened;
    }

    std::unique_ptr<connection> open(const std::string& address, kernel::time_point deadline) {
        const auto endpoint = parse_endpoint(address);
        if (!endpoint) {
            return nullptr;
        }
        auto opened = std::make_unique<connection>(connection{
            beast::tcp_stream{thread_->context()}, beast::flat_buffer{max_buffer_bytes}});
        // The operating system retries a connection attempt to an unreachable host with growing
        // pauses, so without this time-out the attempt could outlast a network partition.
        constexpr auto connect_timeout = std::chrono::milliseconds{700};
        opened->stream.expires_at(std::min<kernel::time_point>(
            deadline, kernel::time_point::clock::now() + connect_timeout));
        in_use_.insert(&opened->stream);
        const auto [ec] =
            await([&](auto handler) { opened->stream.async_connect(*endpoint, handler); });
        in_use_.erase(&opened->stream);
        if (ec || aborted_) {
            return nullptr;
        }
        beast::error_code ignored;
        opened->stream.socket().set_option(tcp::no_delay(true), ignored);
        enable_keepalive(opened->stream.socket());
        ++counters_.connections_opened;
        return opened;
    }

    exchange_result exchange(connection& conn, const std::string& address,
                             const http_request& request, kernel::time_point deadline) {
        const auto message = to_message(address, request);
        conn.stream.expires_at(deadline);
        const auto [write_ec, written] = await<std::size_t>(
            [&](auto handler) { http::async_write(conn.stream, message, handler); });
        if (write_ec) {
            ++counters_.connections_lost;
            return {{to_call_status(write_ec), {}}, false};
        }
        http::response_parser<http::string_body> parser;
        parser.body_limit(max_response_body_bytes);
        const auto [read_ec, n] = await<std::size_t>(
            [&](auto handler) { http::async_read(conn.stream, conn.buffer, parser, handler); });
        if (read_ec) {
            ++counters_.connections_lost;
            return {{to_call_status(read_ec), {}}, false};
        }
        const bool keep_alive = parser.get().keep_alive();
        auto response = parser.release();
        conn.stream.expires_never();
        return {{call_status::answered,
                 {response.result_int(), std::move(response.body()),
                  std::string{response[http::field::etag]}, "application/json"}},
                keep_alive};
    }

    static void release(connection_pool& pool, std::unique_ptr<connection> conn, bool reusable) {
        {
            std::unique_lock lock{pool.mutex};
            if (reusable) {
                pool.idle.push_back(std::move(conn));
            } else {
                --pool.open;
            }
        }
        pool.released.notify_one();
    }

    std::shared_ptr<fiber_thread> thread_;
    std::map<std::string, std::shared_ptr<connection_pool>> pools_;
    /// Streams of the calls in progress, including those that are connecting.
    std::set<beast::tcp_stream*> in_use_;
    bool aborted_ = false;
    call_counters counters_;
};

std::shared_ptr<http_client> http_client::create(std::shared_ptr<fiber_thread> thread) {
    return std::shared_ptr<http_client>(
        new http_client(std::make_unique<implementation>(std::move(thread))));
}

http_client::http_client(std::unique_ptr<implementation> implementation)
    : implementation_(std::move(implementation)) {}

http_client::~http_client() = default;

call_result http_client::call(const std::string& address, const http_request& request,
                              kernel::time_point deadline, std::size_t max_connections) {
    return implementation_->call(address, request, deadline, max_connections);
}

void http_client::cancel_calls() {
    implementation_->cancel_calls();
}

void http_client::abort() {
    implementation_->abort();
}

http_client::call_counters http_client::counters() const {
    return implementation_->counters();
}

}  // namespace poplarfront::runtime
