#pragma once

#include <memory>
#include <string>
#include <utility>

#include "backend_server/backend_behaviour.h"
#include "runtime/fiber_thread.h"
#include "runtime/http_server.h"

namespace poplarfront::standins {

/// What a crash does: an in-process stand-in closes its connections, a process exits.
enum class crash_effect { close_connections, exit_process };

struct backend_server_options {
    std::string name = "backend";
    /// IP:PORT; port 0 takes a free one.
    std::string listen = "127.0.0.1:0";
    std::size_t connections = 55;
    /// Time that a new connection costs before it is served.
    std::chrono::milliseconds connect_cost{0};
    std::uint64_t seed = 1;
    crash_effect on_crash = crash_effect::close_connections;
    backend_behaviour behaviour;
    friend bool operator==(const backend_server_options&, const backend_server_options&) = default;
};

/// A stand-in for a backend server: it executes shard queries and actions over HTTP and can be made
/// to straggle, shed, drain, crash, move shards and misreport its load.
///
/// Thread safety: all members may be called from any thread but the given one.
class backend_server {
public:
    /// Errors: listen_error.
    static kernel::result<std::unique_ptr<backend_server>> create(
        std::shared_ptr<runtime::fiber_thread> thread, backend_server_options options);

    ~backend_server();
    backend_server(const backend_server&) = delete;
    backend_server& operator=(const backend_server&) = delete;

    /// IP:PORT it listens on; the same after a restart.
    [[nodiscard]] std::string address() const;
    [[nodiscard]] backend_counters counters() const;
    [[nodiscard]] backend_behaviour behaviour() const;

    /// Replaces the behaviour; requests that execute are not affected.
    void replace(backend_behaviour next);
    /// Replaces the behaviour with an edited copy of it.
    template <class Edit>
    void change(Edit edit) {
        auto next = behaviour();
        edit(next);
        replace(std::move(next));
    }
    /// Closes all connections abruptly and stops listening.
    void crash();
    /// Listens again after a crash; the cold start begins anew.
    /// Errors: listen_error.
    kernel::result<void> restart();
    /// Answers the requests in flight for up to `limit`, then closes.
    void stop(kernel::duration limit);

private:
    class implementation;
    explicit backend_server(std::shared_ptr<implementation> implementation);

    std::shared_ptr<implementation> implementation_;
};

}  // namespace poplarfront::standins
