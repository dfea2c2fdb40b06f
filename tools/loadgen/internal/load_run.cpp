#include "loadgen/load_run.h"

#include <algorithm>
#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/fiber.hpp>
#include <boost/fiber/mutex.hpp>
#include <boost/fiber/operations.hpp>
#include <boost/json.hpp>
#include <map>
#include <mutex>

#include "loadgen/load_plan.h"
#include "loadgen/load_statistics.h"
#include "runtime/fiber_thread.h"
#include "runtime/http_client.h"

namespace poplarfront::loadgen {
namespace {

namespace json = boost::json;
using std::chrono::milliseconds;

constexpr unsigned http_ok = 200;
/// How long after its deadline an answer is still waited for, so that late ones are seen.
constexpr milliseconds grace{1000};
constexpr milliseconds counters_time_limit{5000};

kernel::time_point now() {
    return std::chrono::steady_clock::now();
}

std::string_view error_of(runtime::call_status status) {
    switch (status) {
        case runtime::call_status::not_sent:
            return "not_sent";
        case runtime::call_status::connection_lost:
            return "connection_lost";
        case runtime::call_status::timed_out:
            return "timed_out";
        case runtime::call_status::response_too_large:
        case runtime::call_status::answered:
            return "unreadable_response";
    }
    return "unknown";
}

/// Nothing if the body cannot be decoded.
template <class T, class Decode>
std::optional<T> decoded(Decode decode, const std::string& body) {
    using maybe = std::optional<T>;
    return kernel::handle<response_error>(
        [&]() -> kernel::result<maybe> {
            BOOST_LEAF_AUTO(value, decode(body));
            return maybe{std::move(value)};
        },
        [](const response_error&) { return maybe{}; });
}

/// One run; all members are used by fibers of one thread.
class load_run {
public:
    load_run(const load_options& options, const std::shared_ptr<runtime::fiber_thread>& thread)
        : options_(options),
          client_(runtime::http_client::create(thread)),
          run_name_(std::to_string(std::chrono::duration_cast<milliseconds>(
                                       std::chrono::system_clock::now().time_since_epoch())
                                       .count())) {}

    load_report run() {
        const auto before = read_counters();
        start_ = now();
        load_plan plan{options_};
        while (const auto request = plan.next()) {
            boost::this_fiber::sleep_until(start_ + request->at);
            offer(*request);
        }
        wait_for_all();
        const double seconds = std::chrono::duration<double>(now() - start_).count();
        const auto after = read_counters();
        check_actions(after);
        return statistics_.report(after.queries - std::min(after.queries, before.queries), seconds);
    }

private:
    void offer(const planned_request& request) {
        statistics_.on_sent(origin_of(request));
        if (in_flight_ >= options_.max_in_flight) {
            statistics_.on_error(origin_of(request), "not_offered");
            return;
        }
        ++in_flight_;
        boost::fibers::fiber{[this, request] {
            if (request.action_target) {
                act(request);
            } else {
                search(request);
            }
            std::unique_lock lock{mutex_};
            --in_flight_;
            ended_.notify_all();
        }}.detach();
    }

    void wait_for_all() {
        std::unique_lock lock{mutex_};
        ended_.wait(lock, [this] { return in_flight_ == 0; });
    }

    [[nodiscard]] request_origin origin_of(const planned_request& request) const {
        return {request.searcher.text(), options_.extra && options_.extra->contains(request.at)};
    }

    [[nodiscard]] answer_time time_since(kernel::time_point begin) const {
        const auto latency = now() - begin;
        return {latency, latency > options_.deadline};
    }

    [[nodiscard]] std::string request_name(const planned_request& request) const {
        return "load-" + run_name_ + "-" + std::to_string(request.number);
    }

    runtime::call_result post(const std::string& instance, const std::string& target,
                              const json::object& body) {
        return client_->call(instance, {"POST", target, json::serialize(body)},
                             now() + options_.deadline + grace, options_.connections);
    }

    void search(const planned_request& request) {
        const auto name = request_name(request);
        json::object body{{"request", name},
                          {"searcher", request.searcher.text()},
                          {"query", request.query},
                          {"deadline_ms", options_.deadline.count()}};
        if (options_.group.empty()) {
            body["services"] = json::value_from(options_.services);
        } else {
            body["group"] = options_.group;
        }
        const auto result = post(request.instance, "/v1/search", body);
        const auto time = time_since(start_ + request.at);
        const auto origin = origin_of(request);
        if (is_answer(result)) {
            const auto answer = decoded<received_answer>(decode_answer, result.response.body);
            if (answer) {
                statistics_.on_answer(origin, {name, origin.searcher, request.query}, *answer,
                                      time);
                return;
            }
        }
        count_unanswered(origin, result);
    }

    void act(const planned_request& request) {
        const auto& target = *request.action_target;
        const auto key =
            run_name_ + "-" + std::to_string(options_.seed) + "." + std::to_string(request.number);
        const json::object body{{"request", request_name(request)},
                                {"searcher", request.searcher.text()},
                                {"service", target.service.text()},
                                {"shard", target.shard.text()},
                                {"request_key", key},
                                {"body", "load"},
                                {"deadline_ms", options_.deadline.count()}};
        action_history history{key, {}};
        for (std::uint32_t sends = 0; sends <= options_.action_resends; ++sends) {
            const auto& instances = options_.instances;
            const auto& instance = sends == 0
                                       ? request.instance
                                       : instances[(request.number + sends) % instances.size()];
            if (send_action(request, instance, body, history)) {
                break;
            }
        }
        histories_.push_back(std::move(history));
    }

    /// True if the outcome is known and needs no resend.
    bool send_action(const planned_request& request, const std::string& instance,
                     const json::object& body, action_history& history) {
        const auto sent = now();
        const auto result = post(instance, "/v1/actions", body);
        const auto time = time_since(sent);
        const auto origin = origin_of(request);
        const auto outcome = is_answer(result)
                                 ? decoded<received_outcome>(decode_outcome, result.response.body)
                                 : std::nullopt;
        if (!outcome) {
            const bool refused = count_unanswered(origin, result);
            history.statuses.emplace_back(refused ? "not_run" : "");
            return false;
        }
        statistics_.on_outcome(origin, outcome->status, time);
        history.statuses.push_back(outcome->status);
        if (outcome->searcher != origin.searcher || outcome->request_key != history.request_key ||
            outcome->request != request_name(request)) {
            statistics_.on_broken("the outcome of action " + history.request_key +
                                  " belongs to another request");
        }
        return outcome->status == "executed" || outcome->status == "already_executed";
    }

    static bool is_answer(const runtime::call_result& result) {
        return result.status == runtime::call_status::answered && result.response.status == http_ok;
    }

    /// True if the request was refused, false if it is not known what became of it.
    bool count_unanswered(const request_origin& origin, const runtime::call_result& result) {
        const auto refusal = result.status == runtime::call_status::answered
                                 ? decoded<received_refusal>(decode_refusal, result.response.body)
                                 : std::nullopt;
        if (refusal) {
            statistics_.on_refused(origin, *refusal);
            return refusal->not_run;
        }
        statistics_.on_error(origin, error_of(result.status));
        return result.status == runtime::call_status::not_sent;
    }

    received_counters read_counters() {
        received_counters sum;
        for (const auto& address : options_.backends) {
            const auto result =
                client_->call(address, {"GET", "/counters"}, now() + counters_time_limit, 1);
            const auto counters = decoded<received_counters>(decode_counters, result.response.body);
            if (!counters) {
                counters_known_ = false;
                continue;
            }
            const auto first = counting_since_.try_emplace(address, counters->since_us).first;
            counters_known_ = counters_known_ && first->second == counters->since_us;
            sum.queries += counters->queries;
            for (const auto& [key, count] : counters->actions_executed) {
                sum.actions_executed[key] += count;
            }
        }
        return sum;
    }

    /// Request keys are unique to the run, so that executions before it do not count. If counts are
    /// unknown, after a crash for example, nothing can be said.
    void check_actions(const received_counters& after) {
        if (options_.backends.empty()) {
            return;
        }
        if (!counters_known_) {
            statistics_.on_error("backend_counters_unknown");
            return;
        }
        for (const auto& history : histories_) {
            const auto it = after.actions_executed.find(history.request_key);
            const auto executions = it == after.actions_executed.end() ? 0 : it->second;
            for (const auto& broken : broken_promises(history, executions)) {
                statistics_.on_broken(broken);
            }
        }
    }

    const load_options& options_;
    std::shared_ptr<runtime::http_client> client_;
    std::string run_name_;
    kernel::time_point start_;
    load_statistics statistics_;
    std::vector<action_history> histories_;
    /// False once a backend server could not be read or lost its counts.
    bool counters_known_ = true;
    std::map<std::string, std::int64_t> counting_since_;
    std::size_t in_flight_ = 0;
    boost::fibers::mutex mutex_;
    boost::fibers::condition_variable ended_;
};

}  // namespace

load_report run_load(const load_options& options) {
    const auto thread = runtime::fiber_thread::create("loadgen");
    load_report report;
    thread->run([&] { report = load_run{options, thread}.run(); });
    thread->stop();
    return report;
}

}  // namespace poplarfront::loadgen
