#include <boost/fiber/operations.hpp>
#include <boost/json.hpp>
#include <catch2/catch.hpp>

#include "loadgen/answer_check.h"
#include "loadgen/load_plan.h"
#include "loadgen/load_run.h"
#include "runtime/http_server.h"

namespace poplarfront::loadgen {
namespace {

namespace json = boost::json;
using std::chrono::milliseconds;

const auto acme = model::searcher_id::trusted("acme");
const auto rival = model::searcher_id::trusted("rival");

load_options basic_options() {
    load_options options;
    options.instances = {"127.0.0.1:1"};
    options.searchers = {{acme, 3.0}, {rival, 1.0}};
    options.services = {"loans"};
    options.rate = 400;
    options.duration = milliseconds{1000};
    return options;
}

TEST_CASE("a plan keeps the rate, the mix of searchers and the surge, and repeats with its seed") {
    auto options = basic_options();
    options.rate = 2000;
    options.duration = milliseconds{10'000};
    options.extra = surge{rival, 5.0, milliseconds{5000}, milliseconds{5000}};
    load_plan plan{options};
    load_plan again{options};
    std::map<std::pair<bool, model::searcher_id>, double> counts;
    while (const auto request = plan.next()) {
        CHECK(again.next() == request);
        ++counts[{request->at >= std::chrono::seconds{5}, request->searcher}];
    }
    CHECK(counts[{false, acme}] == Approx(7500).epsilon(0.05));
    CHECK(counts[{false, rival}] == Approx(2500).epsilon(0.05));
    CHECK(counts[{true, acme}] == Approx(7500).epsilon(0.05));
    CHECK(counts[{true, rival}] == Approx(12'500).epsilon(0.05));
}

TEST_CASE("a plan ends at the bound of requests") {
    auto options = basic_options();
    options.max_requests = 7;
    load_plan plan{options};
    int count = 0;
    while (plan.next()) {
        ++count;
    }
    CHECK(count == 7);
}

const received_answer good_answer{"r",
                                  "acme",
                                  false,
                                  {4},
                                  {{"a:0", "version=4 shard=a:0"}, {"b:1", "version=4 shard=b:1"}},
                                  {"a:0", "b:1"},
                                  {"a:1"}};

/// How many promises the good answer breaks after an edit.
template <class Edit>
std::size_t broken_after(Edit edit, const std::string& query = "all") {
    auto answer = good_answer;
    edit(answer);
    return broken_promises({"r", "acme", query}, answer).size();
}

TEST_CASE("each kind of wrong answer is found") {
    CHECK(broken_after([](auto&) {}) == 0);
    CHECK(broken_after([](auto& it) { it.request = "other"; }) == 1);
    CHECK(broken_after([](auto& it) { it.searcher = "rival"; }) == 1);
    CHECK(broken_after([](auto& it) { it.complete = true; }) == 1);
    CHECK(broken_after([](auto& it) { it.missing.clear(); }) == 1);
    CHECK(broken_after([](auto& it) { it.missing = {"a:0"}; }) == 1);
    CHECK(broken_after([](auto& it) { it.records[0].body = "version=3 shard=a:0"; }) == 1);
    CHECK(broken_after([](auto& it) { it.records.pop_back(); }) == 1);
    CHECK(broken_after([](auto& it) { it.records.push_back(it.records[0]); }) == 1);
}

TEST_CASE("a key that is foreign, found twice or lacking in a complete answer is found") {
    const auto keyed = [](auto& it) {
        it.records = {{"k1", "version=4 shard=a:0"}, {"k1", "version=4 shard=b:1"}};
        it.missing.clear();
        it.complete = true;
    };
    const auto broken = [&](auto edit) {
        return broken_after(
            [&](auto& it) {
                keyed(it);
                edit(it);
            },
            "key:k1");
    };
    CHECK(broken([](auto&) {}) == 0);
    CHECK(broken([](auto& it) { it.records[1].key = "k2"; }) == 1);
    CHECK(broken([](auto& it) { it.records.push_back(it.records[0]); }) == 1);
    CHECK(broken([](auto& it) { it.records.pop_back(); }) == 1);
    CHECK(broken([](auto& it) {
              it.records.pop_back();
              it.missing = {"b:0"};
              it.complete = false;
          }) == 0);
}

TEST_CASE("an action that ran twice, or not as reported, is found") {
    const auto broken = [](std::vector<std::string> statuses, std::uint64_t executions) {
        return broken_promises(action_history{"1-a", std::move(statuses)}, executions).size();
    };
    CHECK(broken({"unknown", "already_executed"}, 1) == 0);
    CHECK(broken({"unknown"}, 0) == 0);
    CHECK(broken({"unknown", "not_run"}, 1) == 0);
    CHECK(broken({"", "executed"}, 2) == 1);
    CHECK(broken({"executed"}, 0) == 1);
    CHECK(broken({"not_run"}, 1) == 1);
}

/// An instance that answers wrongly where told.
class fake_instance {
public:
    explicit fake_instance(std::function<void(json::object&)> edit) : edit_(std::move(edit)) {
        auto created = runtime::http_server::create(
            thread_, {"127.0.0.1:0"}, [this](const auto& request) { return answer(request); });
        REQUIRE(created);
        server_ = std::move(created.value());
    }
    ~fake_instance() {
        server_->stop(milliseconds{100});
        thread_->stop();
    }
    fake_instance(const fake_instance&) = delete;
    fake_instance& operator=(const fake_instance&) = delete;

    [[nodiscard]] std::string address() const {
        return "127.0.0.1:" + std::to_string(server_->port());
    }

private:
    runtime::http_response answer(const runtime::http_request& request) {
        if (request.target == "/counters") {
            const json::object counters{
                {"since_us", 1}, {"queries", queries_}, {"actions_executed", actions_}};
            return {200, json::serialize(counters)};
        }
        const auto asked = json::parse(request.body).as_object();
        if (request.target == "/v1/actions") {
            actions_[asked.at("request_key").as_string()] = 2;
            return {200, json::serialize(json::object{{"request", asked.at("request")},
                                                      {"searcher", asked.at("searcher")},
                                                      {"request_key", asked.at("request_key")},
                                                      {"status", "executed"},
                                                      {"reply", ""}})};
        }
        if (asked.at("searcher").as_string() == "rival") {
            return {503, R"({"error":{"type":"no_time","field":"","message":"","not_run":true}})"};
        }
        queries_ += 3;
        json::object body{{"request", asked.at("request")},
                          {"searcher", asked.at("searcher")},
                          {"complete", false},
                          {"index_version", 2},
                          {"records", json::array{}},
                          {"covered", json::array{"loans:0"}},
                          {"missing", {{{"shard", "loans:1"}, {"reason", "shed"}}}}};
        edit_(body);
        return {200, json::serialize(body)};
    }

    std::function<void(json::object&)> edit_;
    std::uint64_t queries_ = 0;
    json::object actions_;
    std::shared_ptr<runtime::fiber_thread> thread_ = runtime::fiber_thread::create("fake");
    std::unique_ptr<runtime::http_server> server_;
};

TEST_CASE("a run reports coverage, extra load, refusals and latencies, each request once") {
    fake_instance instance{[](json::object&) {}};
    auto options = basic_options();
    options.instances = {instance.address()};
    options.backends = {instance.address()};
    options.query = "none";
    options.extra = surge{acme, 3.0, milliseconds{500}, milliseconds{250}};
    const auto report = run_load(options);
    const auto& refused = report.searchers.at("rival");
    CHECK(report.sent == Approx(550).epsilon(0.2));
    CHECK(report.searchers_in_surge.at("acme").in_time == Approx(225).epsilon(0.3));
    CHECK(report.searchers_in_surge.at("rival").refused == Approx(25).epsilon(0.6));
    CHECK(refused.refused == refused.sent);
    CHECK(report.refused_by_type.value("no_time") == refused.sent);
    CHECK(report.answered + refused.sent == report.sent);
    CHECK(report.latency.total == report.answered);
    CHECK(report.coverage() == 0.5);
    CHECK(report.extra_load() == Approx(0.5));
    CHECK(report.broken_promises == 0);
    CHECK(json::parse(to_json(report)).at("coverage") == 0.5);
    CHECK(to_text(report).find("extra=50.00%") != std::string::npos);
}

TEST_CASE("a run finds answers of other searchers, late answers and repeated actions") {
    fake_instance instance{[](json::object& body) {
        body["searcher"] = "rival";
        boost::this_fiber::sleep_for(milliseconds{30});
    }};
    auto options = basic_options();
    options.instances = {instance.address()};
    options.backends = {instance.address()};
    options.searchers = {{acme, 1.0}};
    options.query = "none";
    options.deadline = milliseconds{20};
    options.action_fraction = 0.5;
    options.action_targets = {{model::service_id::trusted("loans"), model::shard_id::trusted("0")}};
    options.max_requests = 100;
    const auto report = run_load(options);
    const auto actions = report.action_statuses.value("executed");
    CHECK(report.sent == 100);
    CHECK(report.answered == 100);
    CHECK(actions > 20);
    CHECK(report.late >= report.answered - actions);
    CHECK(report.broken_promises == 100);
}

TEST_CASE("an instance that cannot be reached and a bound on requests under way give errors") {
    auto options = basic_options();
    options.duration = milliseconds{200};
    const auto unreachable = run_load(options);
    CHECK(unreachable.errors.value("not_sent") == unreachable.sent);
    options.max_in_flight = 0;
    const auto bounded = run_load(options);
    CHECK(bounded.errors.value("not_offered") == bounded.sent);
}

}  // namespace
}  // namespace poplarfront::loadgen
