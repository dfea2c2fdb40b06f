#include "standins/store/store_standin.h"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <boost/fiber/operations.hpp>
#include <boost/json.hpp>
#include <deque>

#include "kernel/numbers.h"
#include "standins/store/internal/key_table.h"
#include "standins/store/internal/target.h"

namespace poplarfront::standins {
namespace {

using runtime::http_request;
using runtime::http_response;
using std::chrono::milliseconds;

constexpr unsigned status_ok = 200;
constexpr unsigned status_accepted = 202;
constexpr unsigned status_not_modified = 304;
constexpr unsigned status_bad_request = 400;
constexpr unsigned status_not_found = 404;
constexpr unsigned status_conflict = 409;
constexpr unsigned status_too_large = 413;
constexpr unsigned status_service_unavailable = 503;

constexpr std::string_view kv_prefix = "/kv/";
constexpr std::string_view watch_prefix = "/watch/";
constexpr std::string_view lease_path = "/lease";
constexpr std::string_view lease_prefix = "/lease/";
const std::string instance_list_key = "platform/instances";

http_response answer(unsigned status, std::string body = "{}") {
    return {status, std::move(body), ""};
}

http_response answer_value(const store::store_value& value) {
    return {value.version == 0 ? status_not_found : status_ok, value.bytes,
            std::to_string(value.version)};
}

kernel::time_point now() {
    return std::chrono::steady_clock::now();
}

std::optional<boost::json::object> parse_object(const std::string& text) {
    boost::system::error_code ec;
    auto value = boost::json::parse(text, ec);
    if (ec || !value.is_object()) {
        return std::nullopt;
    }
    return std::move(value.as_object());
}

/// The field as a number from 0 to one day in ms; nothing if it is absent or out of range.
std::optional<std::int64_t> number_field(const boost::json::object& object, std::string_view name) {
    constexpr std::int64_t maximum = 86'400'000;
    const auto* field = object.if_contains(name);
    if (field == nullptr) {
        return std::nullopt;
    }
    boost::system::error_code ec;
    const auto n = field->to_number<std::int64_t>(ec);
    return ec || n < 0 || n > maximum ? std::nullopt : std::optional{n};
}

}  // namespace

class store_standin::implementation : public std::enable_shared_from_this<implementation> {
public:
    explicit implementation(const store_standin_options& options)
        : instance_list_delay_(options.instance_list_delay) {}

    http_response handle(const http_request& request) {
        const auto parsed = parse_target(request.target);
        if (parsed.path == "/fault") {
            return set_fault(request);
        }
        if (parsed.path == "/counters") {
            return answer(status_ok, counters_json());
        }
        if (delay_ > kernel::duration::zero()) {
            boost::this_fiber::sleep_for(delay_);
        }
        if (cut_requests_ > 0) {
            --cut_requests_;
            ++counts_.requests_cut;
            return answer(runtime::close_without_response, "");
        }
        if (in_outage()) {
            ++counts_.refused;
            return answer(status_service_unavailable);
        }
        return serve(request, parsed);
    }

    /// Expires leases and applies delayed writes until stop().
    void maintain() {
        std::unique_lock lock{mutex_};
        while (!stopping_) {
            const auto next = next_event();
            if (next) {
                maintenance_.wait_until(lock, *next);
            } else {
                maintenance_.wait(lock);
            }
            counts_.leases_expired += keys_.expire(now());
            apply_delayed();
        }
    }

    void stop() {
        stopping_ = true;
        keys_.wake_all();
        maintenance_.notify_all();
    }

private:
    struct delayed_write {
        kernel::time_point due;
        std::string bytes;
    };

    http_response serve(const http_request& request, const target& parsed) {
        const auto& path = parsed.path;
        if (path.starts_with(kv_prefix) && request.method == "GET") {
            ++counts_.reads;
            return answer_value(keys_.read(path.substr(kv_prefix.size())));
        }
        if (path.starts_with(kv_prefix) && request.method == "PUT") {
            ++counts_.writes;
            return write(path.substr(kv_prefix.size()), request, parsed);
        }
        if (path.starts_with(watch_prefix) && request.method == "GET") {
            return watch(path.substr(watch_prefix.size()), parsed);
        }
        if (path == lease_path && request.method == "POST") {
            ++counts_.lease_calls;
            return add_lease(request);
        }
        if (path.starts_with(lease_prefix)) {
            ++counts_.lease_calls;
            return change_lease(path.substr(lease_prefix.size()), request.method);
        }
        return answer(status_not_found);
    }

    http_response write(const std::string& key, const http_request& request, const target& parsed) {
        const auto expected = kernel::parse_number<std::uint64_t>(request.if_match);
        const auto lease = parsed.number("lease");
        if (request.body.size() > store::max_value_bytes) {
            return answer(status_too_large);
        }
        if (!request.if_match.empty() && !expected) {
            return answer(status_bad_request);
        }
        if (lease && !keys_.has_lease(*lease)) {
            return answer(status_not_found);
        }
        if (key == instance_list_key) {
            delayed_writes_.push_back({now() + instance_list_delay_, request.body});
            maintenance_.notify_all();
            return answer(status_accepted);
        }
        const auto written = keys_.write(key, expected, request.body, lease);
        if (written.status == store::store_status::conflict) {
            ++counts_.conflicts;
            return {status_conflict, "{}", std::to_string(written.version)};
        }
        if (lose_write_replies_ > 0) {
            --lose_write_replies_;
            ++counts_.replies_lost;
            return answer(runtime::close_without_response, "");
        }
        return {status_ok, "{}", std::to_string(written.version)};
    }

    http_response watch(const std::string& key, const target& parsed) {
        constexpr std::uint64_t max_watch_ms = 300'000;
        const auto after = parsed.number("after").value_or(0);
        const auto limit = std::min(parsed.number("timeout_ms").value_or(0), max_watch_ms);
        ++counts_.watches;
        ++counts_.open_watches;
        keys_.wait_for_change(key, after, now() + milliseconds{limit},
                              [this] { return stopping_ || in_outage(); });
        --counts_.open_watches;
        if (stopping_ || in_outage()) {
            ++counts_.refused;
            return answer(status_service_unavailable);
        }
        const auto value = keys_.read(key);
        if (value.version == after) {
            return {status_not_modified, "", std::to_string(after)};
        }
        return answer_value(value);
    }

    http_response add_lease(const http_request& request) {
        const auto object = parse_object(request.body);
        const auto ttl = object ? number_field(*object, "ttl_ms") : std::nullopt;
        if (!ttl) {
            return answer(status_bad_request);
        }
        const auto lease = keys_.add_lease(milliseconds{*ttl}, now());
        maintenance_.notify_all();
        return answer(status_ok, fmt::format(R"({{"lease":{}}})", lease));
    }

    http_response change_lease(const std::string& text, const std::string& method) {
        const auto lease = kernel::parse_number<std::uint64_t>(text);
        if (!lease || (method != "POST" && method != "DELETE")) {
            return answer(status_bad_request);
        }
        // A lease whose time has passed counts as ended even if it has not been removed yet.
        counts_.leases_expired += keys_.expire(now());
        const bool found = method == "POST" ? keys_.renew(*lease, now()) : keys_.end_lease(*lease);
        return answer(found ? status_ok : status_not_found);
    }

    http_response set_fault(const http_request& request) {
        const auto object = parse_object(request.body);
        if (!object) {
            return answer(status_bad_request);
        }
        if (const auto* outage = object->if_contains("outage"); outage && outage->is_bool()) {
            outage_until_ = outage->get_bool() ? kernel::time_point::max() : kernel::time_point{};
        }
        if (const auto ms = number_field(*object, "outage_ms")) {
            outage_until_ = now() + milliseconds{*ms};
        }
        if (const auto ms = number_field(*object, "delay_ms")) {
            delay_ = milliseconds{*ms};
        }
        if (const auto n = number_field(*object, "lose_write_replies")) {
            lose_write_replies_ = *n;
        }
        if (const auto n = number_field(*object, "cut_requests")) {
            cut_requests_ = *n;
        }
        if (const auto ms = number_field(*object, "instance_list_delay_ms")) {
            instance_list_delay_ = milliseconds{*ms};
        }
        keys_.wake_all();
        return answer(status_ok);
    }

    [[nodiscard]] std::string counters_json() const {
        return fmt::format(
            R"({{"reads":{},"writes":{},"conflicts":{},"watches":{},"open_watches":{},)"
            R"("lease_calls":{},"leases_expired":{},"refused":{},"replies_lost":{},)"
            R"("requests_cut":{}}})",
            counts_.reads, counts_.writes, counts_.conflicts, counts_.watches, counts_.open_watches,
            counts_.lease_calls, counts_.leases_expired, counts_.refused, counts_.replies_lost,
            counts_.requests_cut);
    }

    [[nodiscard]] bool in_outage() const { return now() < outage_until_; }

    [[nodiscard]] std::optional<kernel::time_point> next_event() const {
        auto next = keys_.next_expiry();
        for (const auto& write : delayed_writes_) {
            next = std::min(next.value_or(write.due), write.due);
        }
        return next;
    }

    void apply_delayed() {
        while (!delayed_writes_.empty() && delayed_writes_.front().due <= now()) {
            keys_.write(instance_list_key, std::nullopt, std::move(delayed_writes_.front().bytes),
                        std::nullopt);
            delayed_writes_.pop_front();
        }
    }

    key_table keys_;
    store_standin_counts counts_;
    std::deque<delayed_write> delayed_writes_;
    kernel::duration instance_list_delay_;
    kernel::duration delay_{0};
    kernel::time_point outage_until_;
    std::int64_t lose_write_replies_ = 0;
    std::int64_t cut_requests_ = 0;
    bool stopping_ = false;
    boost::fibers::mutex mutex_;
    boost::fibers::condition_variable maintenance_;
};

kernel::result<std::unique_ptr<store_standin>> store_standin::create(
    std::shared_ptr<runtime::fiber_thread> thread, const store_standin_options& options) {
    auto shared = std::make_shared<implementation>(options);
    runtime::http_server_options server_options;
    server_options.address = options.address;
    server_options.max_connections = 8192;
    server_options.idle_timeout = std::chrono::minutes{10};
    BOOST_LEAF_AUTO(server, runtime::http_server::create(
                                thread, server_options,
                                [shared](const http_request& r) { return shared->handle(r); }));
    thread->spawn([shared] { shared->maintain(); });
    return std::unique_ptr<store_standin>(
        new store_standin(std::move(thread), std::move(shared), std::move(server)));
}

store_standin::store_standin(std::shared_ptr<runtime::fiber_thread> thread,
                             std::shared_ptr<implementation> implementation,
                             std::unique_ptr<runtime::http_server> server)
    : thread_(std::move(thread)),
      implementation_(std::move(implementation)),
      server_(std::move(server)) {}

store_standin::~store_standin() {
    stop();
}

unsigned short store_standin::port() const {
    return server_->port();
}

void store_standin::stop() {
    constexpr auto drain_limit = milliseconds{200};
    if (!stopped_) {
        stopped_ = true;
        thread_->run([this] { implementation_->stop(); });
        server_->stop(drain_limit);
    }
}

}  // namespace poplarfront::standins
