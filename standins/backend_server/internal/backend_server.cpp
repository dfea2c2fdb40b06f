#include "backend_server/backend_server.h"

#include <boost/fiber/operations.hpp>
#include <cmath>
#include <cstdlib>
#include <map>
#include <random>
#include <utility>
#include <variant>

#include "backend_server/behaviour_json.h"
#include "backend_server/execution_slots.h"
#include "backend_server/records.h"
#include "wire/backend_json.h"
#include "wire/caller_json.h"

namespace poplarfront::standins {
namespace {

using model::attempt_status;
using runtime::http_request;
using runtime::http_response;

constexpr unsigned http_ok = 200;
constexpr unsigned http_bad_request = 400;
constexpr unsigned http_not_found = 404;
constexpr int crash_exit_code = 70;
constexpr auto crash_pause = std::chrono::milliseconds{20};

kernel::time_point now() {
    return std::chrono::steady_clock::now();
}

http_response refusal(const std::string& field, const std::string& message) {
    return {http_bad_request, wire::encode_refusal("bad_request", field, message)};
}

/// What `decode` returns, or the response that refuses the request.
template <class Error, class T, class Decode>
std::variant<T, http_response> decode_or_refuse(Decode decode) {
    using decoded = std::variant<T, http_response>;
    return kernel::handle<Error>(
        [&]() -> kernel::result<decoded> {
            BOOST_LEAF_AUTO(value, decode());
            return decoded{std::move(value)};
        },
        [](const Error& error) { return decoded{refusal(error.field, error.message)}; });
}

}  // namespace

class backend_server::implementation : public std::enable_shared_from_this<implementation> {
public:
    implementation(std::shared_ptr<runtime::fiber_thread> thread, backend_server_options options)
        : thread_(std::move(thread)),
          options_(std::move(options)),
          behaviour_(options_.behaviour),
          random_(options_.seed) {
        counters_.since =
            std::chrono::duration_cast<std::chrono::microseconds>(now().time_since_epoch());
    }

    kernel::result<void> listen() {
        thread_->run([this] {
            slots_.resize(behaviour_.slots, behaviour_.queue);
            started_ = now();
        });
        runtime::http_server_options options;
        options.address = options_.listen;
        options.max_connections = options_.connections;
        options.accept_delay = options_.connect_cost;
        BOOST_LEAF_AUTO(server, runtime::http_server::create(
                                    thread_, std::move(options),
                                    [weak = weak_from_this()](const http_request& request) {
                                        const auto self = weak.lock();
                                        return self ? self->handle(request) : http_response{};
                                    }));
        const auto colon = options_.listen.rfind(':');
        options_.listen.replace(colon + 1, std::string::npos, std::to_string(server->port()));
        // Handlers read server_ on the thread, also while a restart replaces it.
        thread_->run([this, &server] { server_ = std::move(server); });
        return {};
    }

    [[nodiscard]] const std::string& address() const { return options_.listen; }

    template <class T>
    T read(T implementation::*member) {
        T copy;
        thread_->run([&] { copy = this->*member; });
        return copy;
    }
    backend_counters counters() { return read(&implementation::counters_); }
    backend_behaviour behaviour() { return read(&implementation::behaviour_); }

    void replace(backend_behaviour next) {
        thread_->run([&] { apply(std::move(next)); });
    }

    void crash() {
        thread_->run([this] { crash_now(); });
    }

    void stop(kernel::duration limit) {
        if (server_ != nullptr) {
            server_->stop(limit);
        }
    }

private:
    using attempt_key = std::pair<model::request_id, std::uint32_t>;

    http_response handle(const http_request& request) {
        if (request.method == "POST" && request.target == "/query") {
            return handle_query(request.body);
        }
        if (request.method == "POST" && request.target == "/action") {
            return handle_action(request.body);
        }
        if (request.method == "POST" && request.target == "/cancel") {
            return handle_cancel(request.body);
        }
        if (request.method == "POST" && request.target == "/control") {
            return handle_control(request.body);
        }
        if (request.method == "GET" && request.target == "/counters") {
            return {http_ok, encode_counters(options_.name, counters_, connections())};
        }
        return {http_not_found, wire::encode_refusal("not_found", "", "no such resource")};
    }

    http_response handle_query(const std::string& body) {
        auto decoded = decode_or_refuse<wire::wire_error, model::shard_attempt>(
            [&] { return wire::decode_attempt(body, now()); });
        if (const auto* const refused = std::get_if<http_response>(&decoded)) {
            ++counters_.replies[attempt_status::bad_request];
            return *refused;
        }
        const auto& attempt = std::get<model::shard_attempt>(decoded);
        ++counters_.queries;
        model::attempt_reply reply{attempt.request, attempt.attempt, attempt.searcher,
                                   attempt.shard,   attempt.server,  attempt_status::ok};
        reply.status = check(attempt);
        if (reply.status == attempt_status::ok) {
            run_query(attempt, reply);
        }
        reply.versions = behaviour_.versions;
        reply.reported_load = reported_load();
        ++counters_.replies[reply.status];
        return {http_ok, wire::encode_attempt_reply(reply)};
    }

    /// What can be said without executing the attempt; ok if it may execute.
    [[nodiscard]] attempt_status check(const model::shard_attempt& attempt) const {
        if (behaviour_.draining) {
            return attempt_status::draining;
        }
        const auto* const layout = behaviour_.layout_at(attempt.snapshot.map_revision);
        if (layout == nullptr || !layout->held.contains(attempt.shard)) {
            return attempt_status::wrong_map;
        }
        if (!behaviour_.versions.contains(attempt.snapshot.version)) {
            return attempt_status::version_unavailable;
        }
        return attempt_status::ok;
    }

    void run_query(const model::shard_attempt& attempt, model::attempt_reply& reply) {
        // The layout is copied: a control request may replace it while the query executes.
        const auto layout = *behaviour_.layout_at(attempt.snapshot.map_revision);
        open_request open;
        const attempt_key key{attempt.request, attempt.attempt};
        open_requests_[key] = &open;
        reply.status = attempt_status::shed;
        if (slots_.acquire(open, attempt.deadline) == slot_outcome::acquired) {
            ++counters_.queries_executed;
            ++counters_.executed_by_searcher[attempt.searcher];
            crash_if_told(attempt.query);
            if (open.execute(execution_time(), attempt.deadline)) {
                reply.status = attempt_status::ok;
                reply.version = attempt.snapshot.version;
                reply.records =
                    matching_records(layout, attempt.shard, reply.version, attempt.query);
            }
            slots_.release();
        }
        counters_.cancelled += open.is_cancelled() ? 1 : 0;
        open_requests_.erase(key);
    }

    http_response handle_action(const std::string& body) {
        auto decoded = decode_or_refuse<wire::wire_error, model::action_request>(
            [&] { return wire::decode_backend_action(body, now()); });
        if (const auto* const refused = std::get_if<http_response>(&decoded)) {
            ++counters_.replies[attempt_status::bad_request];
            return *refused;
        }
        const auto& action = std::get<model::action_request>(decoded);
        ++counters_.actions;
        wire::backend_action_reply reply{action.request, action.searcher, attempt_status::shed, ""};
        if (behaviour_.draining) {
            reply.status = attempt_status::draining;
        } else if (!is_held_now(action.target)) {
            reply.status = attempt_status::wrong_map;
        } else {
            run_action(action, reply);
        }
        ++counters_.replies[reply.status];
        return {http_ok, wire::encode_backend_action_reply(reply)};
    }

    [[nodiscard]] bool is_held_now(const model::shard_ref& shard) const {
        return !behaviour_.layouts.empty() && behaviour_.layouts.back().held.contains(shard);
    }

    [[nodiscard]] std::size_t connections() const {
        return server_ == nullptr ? 0 : server_->connections();
    }

    /// An action that has a slot takes effect at once and is then carried through, so that the
    /// statuses other than ok mean "not executed".
    void run_action(const model::action_request& action, wire::backend_action_reply& reply) {
        open_request open;
        if (slots_.acquire(open, action.deadline) != slot_outcome::acquired) {
            return;
        }
        ++counters_.actions_executed[action.request_key];
        crash_if_told(action.body);
        open.execute(execution_time(), kernel::time_point::max());
        slots_.release();
        reply.status = attempt_status::ok;
        reply.reply = "done:" + action.request_key;
    }

    http_response handle_cancel(const std::string& body) {
        auto decoded =
            decode_or_refuse<control_error, cancel_target>([&] { return decode_cancel(body); });
        if (const auto* const refused = std::get_if<http_response>(&decoded)) {
            return *refused;
        }
        const auto& target = std::get<cancel_target>(decoded);
        ++counters_.cancels;
        const auto open = open_requests_.find({target.request, target.attempt});
        if (open == open_requests_.end()) {
            return {http_ok, R"({"cancelled":false})"};
        }
        open->second->cancel();
        return {http_ok, R"({"cancelled":true})"};
    }

    http_response handle_control(const std::string& body) {
        auto decoded = decode_or_refuse<control_error, backend_behaviour>(
            [&] { return apply_control(body, behaviour_); });
        if (const auto* const refused = std::get_if<http_response>(&decoded)) {
            return *refused;
        }
        apply(std::move(std::get<backend_behaviour>(decoded)));
        return {http_ok, R"({"accepted":true})"};
    }

    void apply(backend_behaviour next) {
        behaviour_ = std::move(next);
        slots_.resize(behaviour_.slots, behaviour_.queue);
    }

    kernel::duration execution_time() {
        std::lognormal_distribution<double> spread{0.0, behaviour_.latency_sigma};
        const double factor = spread(random_) * behaviour_.straggle_factor * cold_factor();
        return std::chrono::duration_cast<kernel::duration>(
            std::chrono::duration<double, std::micro>(
                static_cast<double>(behaviour_.latency.count()) * factor));
    }

    [[nodiscard]] double cold_factor() const {
        const auto age = now() - started_;
        if (age >= behaviour_.cold_start) {
            return 1.0;
        }
        const double done = std::chrono::duration<double>(age) /
                            std::chrono::duration<double>(behaviour_.cold_start);
        return behaviour_.cold_factor - (behaviour_.cold_factor - 1.0) * done;
    }

    double reported_load() {
        if (behaviour_.report == load_report::fixed) {
            return behaviour_.fixed_load;
        }
        const bool repeat = behaviour_.report == load_report::lagging &&
                            now() - load_measured_ < behaviour_.report_lag;
        if (!repeat) {
            const double places = behaviour_.slots + behaviour_.queue;
            measured_load_ = static_cast<double>(slots_.busy() + slots_.waiting()) / places;
            load_measured_ = now();
        }
        return measured_load_;
    }

    void crash_if_told(const std::string& text) {
        if (behaviour_.crash_text.empty() ||
            text.find(behaviour_.crash_text) == std::string::npos) {
            return;
        }
        crash_now();
    }

    void crash_now() {
        if (options_.on_crash == crash_effect::exit_process) {
            std::_Exit(crash_exit_code);
        }
        ++counters_.crashes;
        if (server_ != nullptr) {
            server_->abort();
        }
        // The connections are closed on the next turn of the thread; a reply must not precede it.
        boost::this_fiber::sleep_for(crash_pause);
    }

    std::shared_ptr<runtime::fiber_thread> thread_;
    backend_server_options options_;
    backend_behaviour behaviour_;
    backend_counters counters_;
    execution_slots slots_;
    std::map<attempt_key, open_request*> open_requests_;
    std::mt19937_64 random_;
    kernel::time_point started_;
    kernel::time_point load_measured_;
    double measured_load_ = 0.0;
    std::unique_ptr<runtime::http_server> server_;
};

kernel::result<std::unique_ptr<backend_server>> backend_server::create(
    std::shared_ptr<runtime::fiber_thread> thread, backend_server_options options) {
    auto created = std::make_shared<implementation>(std::move(thread), std::move(options));
    BOOST_LEAF_CHECK(created->listen());
    return std::unique_ptr<backend_server>(new backend_server(std::move(created)));
}

backend_server::backend_server(std::shared_ptr<implementation> implementation)
    : implementation_(std::move(implementation)) {}

backend_server::~backend_server() = default;

std::string backend_server::address() const {
    return implementation_->address();
}

backend_counters backend_server::counters() const {
    return implementation_->counters();
}

backend_behaviour backend_server::behaviour() const {
    return implementation_->behaviour();
}

void backend_server::replace(backend_behaviour next) {
    implementation_->replace(std::move(next));
}

void backend_server::crash() {
    implementation_->crash();
}

kernel::result<void> backend_server::restart() {
    return implementation_->listen();
}

void backend_server::stop(kernel::duration limit) {
    implementation_->stop(limit);
}

}  // namespace poplarfront::standins
