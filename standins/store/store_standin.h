#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "kernel/result.h"
#include "runtime/fiber_thread.h"
#include "runtime/http_server.h"

namespace poplarfront::standins {

struct store_standin_options {
    /// IP:PORT; port 0 takes a free one.
    std::string address = "127.0.0.1:0";
    /// How much later a write of `platform/instances` is seen.
    kernel::duration instance_list_delay = std::chrono::seconds{3};
};

/// Requests served since the start.
struct store_standin_counts {
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
    std::uint64_t conflicts = 0;
    std::uint64_t watches = 0;
    std::uint64_t open_watches = 0;
    std::uint64_t lease_calls = 0;
    std::uint64_t leases_expired = 0;
    std::uint64_t refused = 0;
    std::uint64_t replies_lost = 0;
    std::uint64_t requests_cut = 0;
    friend auto operator<=>(const store_standin_counts&, const store_standin_counts&) = default;
};

/// A stand-in for the platform's store, in memory.
///
/// - `GET /kv/KEY`: 200 with the value and its version as ETag, or 404.
/// - `PUT /kv/KEY[?lease=ID]`: compare-and-swap; If-Match is the expected version, 0 if the key
/// must
///   not exist; 200, or 409, with the version as ETag. Without If-Match it writes in any case. 413
///   above 1 MB. Versions rise over all keys, so a key that is created again has a new version.
/// - `GET /watch/KEY?after=VERSION&timeout_ms=N`: as GET, once the version differs from VERSION;
/// 304
///   after N ms without a change.
/// - `POST /lease` `{"ttl_ms"}`: `{"lease"}`; `POST /lease/ID` renews, `DELETE /lease/ID` ends it.
///   Keys bound to a lease are removed when it ends. 404 for a lease that has ended.
/// - The key `platform/instances` takes unconditional writes, which are seen after a delay.
/// - `POST /fault`: any of `{"outage": bool, "outage_ms": n, "delay_ms": n, "lose_write_replies":
/// n,
///   "cut_requests": n, "instance_list_delay_ms": n}`. In an outage all calls but `/fault` and
///   `/counters` get 503. The next `lose_write_replies` writes that take effect get no reply, the
///   connection is closed. The next `cut_requests` requests are closed without taking effect.
/// - `GET /counters`: store_standin_counts as JSON.
///
/// Thread safety: `create` and `stop` run on any thread but the fiber thread.
class store_standin {
public:
    /// Errors: runtime::listen_error.
    static kernel::result<std::unique_ptr<store_standin>> create(
        std::shared_ptr<runtime::fiber_thread> thread, const store_standin_options& options);

    /// Stops if not yet stopped.
    ~store_standin();
    store_standin(const store_standin&) = delete;
    store_standin& operator=(const store_standin&) = delete;

    [[nodiscard]] unsigned short port() const;

    /// Ends open watches and the server.
    void stop();

private:
    class implementation;
    store_standin(std::shared_ptr<runtime::fiber_thread> thread,
                  std::shared_ptr<implementation> implementation,
                  std::unique_ptr<runtime::http_server> server);

    bool stopped_ = false;
    std::shared_ptr<runtime::fiber_thread> thread_;
    std::shared_ptr<implementation> implementation_;
    std::unique_ptr<runtime::http_server> server_;
};

}  // namespace poplarfront::standins
