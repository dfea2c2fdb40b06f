#pragma once

#include <functional>
#include <memory>
#include <string>

#include "kernel/concepts.h"
#include "kernel/result.h"
#include "runtime/fiber_thread.h"
#include "runtime/http_types.h"

namespace poplarfront::runtime {

/// An address that cannot be used.
struct listen_error {
    std::string address;
    std::string message;
    friend auto operator<=>(const listen_error&, const listen_error&) = default;
};

/// Answers one request; runs on a fiber of the server's thread and may suspend.
using http_handler = std::function<http_response(const http_request&)>;

struct http_server_options {
    /// IP:PORT; port 0 takes a free one.
    std::string address;
    /// Connections above this number are closed at once.
    std::size_t max_connections = 1024;
    /// How long a connection may be idle or slow to send a request.
    kernel::duration idle_timeout = std::chrono::seconds{60};
    /// Delay before a new connection is served; stand-ins model costly connections with it.
    kernel::duration accept_delay{0};
};

/// An HTTP/1.1 server on one fiber thread, one fiber a connection. Malformed requests get status
/// 400, oversized bodies 413, and the server keeps serving.
///
/// Thread safety: `create` and `stop` may be called from any thread but the server's own.
class http_server {
public:
    /// Binds and listens. Several servers may listen on one address, each on its own thread; the
    /// system spreads connections over them.
    /// Errors: listen_error.
    static kernel::result<std::unique_ptr<http_server>> create(std::shared_ptr<fiber_thread> thread,
                                                               http_server_options options,
                                                               http_handler handler);

    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    /// The port it listens on.
    [[nodiscard]] unsigned short port() const;

    /// Open connections. May lag.
    [[nodiscard]] std::size_t connections() const;

    /// Stops accepting, closes idle connections and waits up to `limit` until the requests under
    /// way are answered; then closes the rest.
    void stop(kernel::duration limit);

    /// Closes the listener and all connections soon, without answering the requests under way.
    /// May also be called on the server's own thread. Stand-ins model a crash with it.
    void abort();

private:
    class implementation;
    explicit http_server(std::shared_ptr<implementation> implementation);

    std::shared_ptr<implementation> implementation_;
};

}  // namespace poplarfront::runtime
