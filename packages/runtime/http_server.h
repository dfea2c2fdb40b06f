#pragma once

#include <functional>
#include <memory>
#include <string>

#include "kernel/concepts.h"
#include "kernel/result.h"
#include "runtime/fiber_thread.h"
#include "runtime/http_types.h"

namespace poplarfront::runtime {

/// Why a server or an endpoint cannot use an address.
struct listen_error {
    std::string address;
    std::string message;
    friend auto operator<=>(const listen_error&, const listen_error&) = default;
};

/// Handles one request; runs on a fiber of the server's thread and may suspend.
using http_handler = std::function<http_response(const http_request&)>;

struct http_server_options {
    /// IP:PORT; with port 0 the operating system chooses a free port.
    std::string address;
    /// Connections beyond this number are closed immediately.
    std::size_t max_connections = 1024;
    /// A connection is closed if its next request has not arrived, or its response has not been
    /// sent, within this time.
    kernel::duration idle_timeout = std::chrono::seconds{60};
    /// Delay before a new connection is served; stand-ins (simulated servers for tests) use it to
    /// model expensive connection setup.
    kernel::duration accept_delay{0};
};

/// An HTTP/1.1 server that runs on one fiber thread, with one fiber per connection. It answers
/// malformed requests with status 400 and oversized bodies with 413, closes the connections of
/// such requests, and continues to serve others.
///
/// Thread safety: `create` and `stop` may be called from any thread but the server's own.
class http_server {
public:
    /// Binds and listens. Several servers may listen on one address, each on its own thread; the
    /// operating system distributes connections among them.
    /// Errors: listen_error.
    static kernel::result<std::unique_ptr<http_server>> create(std::shared_ptr<fiber_thread> thread,
                                                               http_server_options options,
                                                               http_handler handler);

    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    /// The port that the server listens on.
    [[nodiscard]] unsigned short port() const;

    /// Number of open connections; may be slightly out of date.
    [[nodiscard]] std::size_t connections() const;

    /// Stops accepting, closes idle connections and waits up to `timeout` until the requests in
    /// progress are answered; then cancels the I/O of the remaining connections and waits up to 1 s
    /// for them to close.
    void stop(kernel::duration timeout);

    /// Closes the listener and all connections without answering the requests in progress; returns
    /// before that is done. May also be called on the server's own thread. Stand-ins use it to
    /// model a crash.
    void abort();

private:
    class implementation;
    explicit http_server(std::shared_ptr<implementation> implementation);

    std::shared_ptr<implementation> implementation_;
};

}  // namespace poplarfront::runtime
