#pragma once

#include <atomic>
#include <memory>
#include <string>

#include "runtime/http_client.h"
#include "store/store_client.h"

namespace poplarfront::store {

/// The address of the store and the maximum number of connections to it.
struct http_store_options {
    /// IP:PORT.
    std::string address;
    /// Each watch in progress occupies one connection.
    std::size_t max_connections = 16;
    friend auto operator<=>(const http_store_options&, const http_store_options&) = default;
};

/// Numbers of calls made so far, by operation, and of unsuccessful ones, by status.
struct store_call_counters {
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
    std::uint64_t watches = 0;
    std::uint64_t conflicts = 0;
    std::uint64_t unavailable = 0;
    std::uint64_t unknown = 0;
    friend auto operator<=>(const store_call_counters&, const store_call_counters&) = default;
};

/// The counters as a JSON object.
[[nodiscard]] std::string to_json(const store_call_counters& counts);

/// A client of the platform's store over HTTP. A call that was not sent, or that the store refused,
/// returns `unavailable`; a call without a reply, or with a reply that does not say whether it took
/// effect, returns `unknown`.
///
/// Keys consist of identifier characters (model::is_identifier).
/// Thread safety: calls run on fibers of the HTTP client's thread; `counters` on any thread.
class http_store_client {
public:
    static std::shared_ptr<http_store_client> create(std::shared_ptr<runtime::http_client> http,
                                                     http_store_options options);

    /// Reads a key. For a key that does not exist, returns `ok` with version 0.
    read_outcome read(const std::string& key, kernel::time_point deadline);

    /// Writes `bytes` if the version of the key is `version` (0: the key does not exist). A value
    /// larger than max_value_bytes is not sent; the status is `unavailable`.
    write_outcome compare_and_swap(const std::string& key, std::uint64_t version,
                                   const std::string& bytes, kernel::time_point deadline);

    /// Waits until the key has a version other than `version`. If that does not happen before the
    /// deadline, returns `ok` with `version` and no bytes.
    read_outcome watch(const std::string& key, std::uint64_t version, kernel::time_point deadline);

    [[nodiscard]] store_call_counters counters() const;

private:
    http_store_client(std::shared_ptr<runtime::http_client> http, http_store_options options);

    runtime::call_result call(const runtime::http_request& request, kernel::time_point deadline);
    void count_status(store_status status);

    std::shared_ptr<runtime::http_client> http_;
    http_store_options options_;
    std::atomic<std::uint64_t> reads_{0};
    std::atomic<std::uint64_t> writes_{0};
    std::atomic<std::uint64_t> watches_{0};
    std::atomic<std::uint64_t> conflicts_{0};
    std::atomic<std::uint64_t> unavailable_{0};
    std::atomic<std::uint64_t> unknown_{0};
};

static_assert(store_client<http_store_client>);

}  // namespace poplarfront::store
