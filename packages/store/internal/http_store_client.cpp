#include "store/http_store_client.h"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <optional>

#include "kernel/numbers.h"

namespace poplarfront::store {
namespace {

using runtime::call_status;

constexpr unsigned status_ok = 200;
constexpr unsigned status_not_modified = 304;
constexpr unsigned status_not_found = 404;
constexpr unsigned status_conflict = 409;
constexpr unsigned status_service_unavailable = 503;

/// Whether a status says that the store refused the request before it had an effect.
bool is_refusal(unsigned status) {
    constexpr unsigned first_client_error = 400;
    constexpr unsigned first_server_error = 500;
    // A proxy may give 408 after it has passed the request on.
    constexpr unsigned request_timeout = 408;
    return status == status_service_unavailable ||
           (status >= first_client_error && status < first_server_error &&
            status != request_timeout);
}

store_status failure_of(const runtime::call_result& result) {
    const bool sent = result.status != call_status::not_sent;
    const bool refused =
        result.status == call_status::answered && is_refusal(result.response.status);
    return sent && !refused ? store_status::unknown : store_status::unavailable;
}

read_outcome to_read_outcome(runtime::call_result result) {
    if (result.status != call_status::answered) {
        return {failure_of(result), {}};
    }
    if (result.response.status == status_not_found) {
        return {store_status::ok, {}};
    }
    const auto version = kernel::parse_number<std::uint64_t>(result.response.etag);
    if (result.response.status != status_ok || !version) {
        return {failure_of(result), {}};
    }
    return {store_status::ok, {std::move(result.response.body), *version}};
}

write_outcome to_write_outcome(const runtime::call_result& result) {
    if (result.status != call_status::answered) {
        return {failure_of(result), 0};
    }
    const auto version = kernel::parse_number<std::uint64_t>(result.response.etag);
    if (result.response.status == status_ok && version) {
        return {store_status::ok, *version};
    }
    if (result.response.status == status_conflict) {
        return {store_status::conflict, version.value_or(0)};
    }
    return {failure_of(result), 0};
}

/// How long the store holds a watch: shorter than the deadline, so that its answer still arrives.
std::int64_t watch_timeout_ms(kernel::time_point deadline) {
    constexpr auto longest_margin = std::chrono::milliseconds{100};
    constexpr int margin_divisor = 10;
    const auto remaining = std::chrono::duration_cast<std::chrono::milliseconds>(
        deadline - std::chrono::steady_clock::now());
    const auto margin = std::min(longest_margin, remaining / margin_divisor);
    return std::max<std::int64_t>(0, (remaining - margin).count());
}

}  // namespace

std::string to_json(const store_call_counters& counts) {
    return fmt::format(
        R"({{"reads":{},"writes":{},"watches":{},"conflicts":{},"unavailable":{},"unknown":{}}})",
        counts.reads, counts.writes, counts.watches, counts.conflicts, counts.unavailable,
        counts.unknown);
}

std::shared_ptr<http_store_client> http_store_client::create(
    std::shared_ptr<runtime::http_client> http, http_store_options options) {
    return std::shared_ptr<http_store_client>(
        new http_store_client(std::move(http), std::move(options)));
}

http_store_client::http_store_client(std::shared_ptr<runtime::http_client> http,
                                     http_store_options options)
    : http_(std::move(http)), options_(std::move(options)) {}

read_outcome http_store_client::read(const std::string& key, kernel::time_point deadline) {
    ++reads_;
    auto outcome = to_read_outcome(call({"GET", "/kv/" + key, "", ""}, deadline));
    count_status(outcome.status);
    return outcome;
}

write_outcome http_store_client::compare_and_swap(const std::string& key, std::uint64_t version,
                                                  const std::string& bytes,
                                                  kernel::time_point deadline) {
    ++writes_;
    if (bytes.size() > max_value_bytes) {
        count_status(store_status::unavailable);
        return {store_status::unavailable, 0};
    }
    const auto outcome =
        to_write_outcome(call({"PUT", "/kv/" + key, bytes, std::to_string(version)}, deadline));
    count_status(outcome.status);
    return outcome;
}

read_outcome http_store_client::watch(const std::string& key, std::uint64_t version,
                                      kernel::time_point deadline) {
    ++watches_;
    const auto target =
        fmt::format("/watch/{}?after={}&timeout_ms={}", key, version, watch_timeout_ms(deadline));
    auto result = call({"GET", target, "", ""}, deadline);
    const bool unchanged =
        result.status == call_status::answered && result.response.status == status_not_modified;
    auto outcome = unchanged ? read_outcome{store_status::ok, {"", version}}
                             : to_read_outcome(std::move(result));
    count_status(outcome.status);
    return outcome;
}

store_call_counters http_store_client::counters() const {
    return {reads_, writes_, watches_, conflicts_, unavailable_, unknown_};
}

runtime::call_result http_store_client::call(const runtime::http_request& request,
                                             kernel::time_point deadline) {
    return http_->call(options_.address, request, deadline, options_.max_connections);
}

void http_store_client::count_status(store_status status) {
    switch (status) {
        case store_status::ok:
            break;
        case store_status::conflict:
            ++conflicts_;
            break;
        case store_status::unavailable:
            ++unavailable_;
            break;
        case store_status::unknown:
            ++unknown_;
            break;
    }
}

}  // namespace poplarfront::store
