#include "backend_server/backend_server.h"

#include <boost/fiber/fiber.hpp>
#include <boost/fiber/operations.hpp>
#include <catch2/catch.hpp>

#include "backend_server/records.h"
#include "runtime/http_client.h"
#include "wire/backend_json.h"

namespace poplarfront::standins {
namespace {

using model::attempt_status;
using std::chrono::microseconds;
using std::chrono::milliseconds;

const std::vector<std::string> service_shards{"loans:0", "loans:1", "loans:2"};

/// A running stand-in with a client on another thread.
class fixture {
public:
    explicit fixture(backend_behaviour behaviour = {}) {
        auto layout = make_layout({0}, service_shards, {});
        REQUIRE(layout);
        behaviour.layouts = {layout.value()};
        backend_server_options options;
        options.behaviour = behaviour;
        auto created = backend_server::create(server_thread_, options);
        REQUIRE(created);
        server_ = std::move(created.value());
    }
    ~fixture() {
        server_->stop(milliseconds{200});
        client_thread_->stop();
        server_thread_->stop();
    }
    fixture(const fixture&) = delete;
    fixture& operator=(const fixture&) = delete;

    backend_server& server() { return *server_; }

    runtime::call_result call(const std::string& target, const std::string& body) {
        return client_->call(server_->address(), {"POST", target, body}, in(milliseconds{2000}),
                             50);
    }

    /// Must run on a fiber of the client's thread.
    model::attempt_reply query(std::uint32_t attempt, const std::string& shard,
                               const std::string& text, model::pinned_snapshot pin = {{1}, {1}},
                               milliseconds deadline = milliseconds{1000}) {
        const model::shard_attempt sent{
            model::request_id::trusted("r"),
            attempt,
            model::searcher_id::trusted("acme"),
            {model::service_id::trusted("loans"), model::shard_id::trusted(shard)},
            model::server_id::trusted("b"),
            pin,
            text,
            in(deadline)};
        const auto result = call("/query", wire::encode_attempt(sent, in(milliseconds{0})));
        model::attempt_reply reply;
        reply.status = result.status == runtime::call_status::connection_lost
                           ? attempt_status::connection_lost
                           : attempt_status::not_sent;
        if (result.status == runtime::call_status::answered) {
            reply = kernel::handle<wire::wire_error>(
                [&] { return wire::decode_attempt_reply(result.response.body); },
                [](const wire::wire_error&) { return model::attempt_reply{}; });
        }
        return reply;
    }

    void on_client(const std::function<void()>& body) { client_thread_->run(body); }

private:
    static kernel::time_point in(milliseconds wait) {
        return std::chrono::steady_clock::now() + wait;
    }

    std::shared_ptr<runtime::fiber_thread> server_thread_ = runtime::fiber_thread::create("srv");
    std::shared_ptr<runtime::fiber_thread> client_thread_ = runtime::fiber_thread::create("cli");
    std::shared_ptr<runtime::http_client> client_ = runtime::http_client::create(client_thread_);
    std::unique_ptr<backend_server> server_;
};

backend_behaviour constant_latency(microseconds latency) {
    backend_behaviour behaviour;
    behaviour.latency = latency;
    behaviour.latency_sigma = 0;
    return behaviour;
}

TEST_CASE("a key is found on exactly one shard, with the pinned version in its body") {
    fixture f;
    f.on_client([&] {
        std::size_t found = 0;
        for (const std::string shard : {"0", "1", "2"}) {
            const auto reply = f.query(0, shard, "key:k17");
            CHECK(reply.status == attempt_status::ok);
            found += reply.records.size();
            for (const auto& record : reply.records) {
                CHECK(record.key == "k17");
                CHECK(stated_version(record.body) == model::index_version{1});
            }
        }
        CHECK(found == 1);
        CHECK(f.query(1, "2", "all").records.size() == 1);
    });
}

TEST_CASE("versions and shards that are not held are refused without execution") {
    fixture f;
    f.server().change([](backend_behaviour& it) { it.versions = {{3}, {4}}; });
    f.on_client([&] {
        const auto old = f.query(0, "0", "all", {{1}, {2}});
        CHECK(old.status == attempt_status::version_unavailable);
        CHECK(old.versions == model::version_range{{3}, {4}});
        CHECK(f.query(1, "9", "all", {{1}, {3}}).status == attempt_status::wrong_map);
        const auto moved =
            f.call("/control",
                   R"({"layout":{"from_revision":5,"shards":["loans:0"],"keep_previous":true}})");
        CHECK(moved.response.status == 200);
        CHECK(f.query(2, "1", "all", {{5}, {3}}).status == attempt_status::wrong_map);
        CHECK(f.query(3, "1", "all", {{4}, {3}}).status == attempt_status::ok);
    });
    CHECK(f.server().counters().queries_executed == 1);
}

TEST_CASE("requests above slots and queue are shed and those past their deadline do not execute") {
    auto behaviour = constant_latency(milliseconds{100});
    behaviour.slots = 1;
    behaviour.queue = 1;
    fixture f{behaviour};
    f.on_client([&] {
        std::vector<attempt_status> statuses;
        std::vector<boost::fibers::fiber> fibers;
        for (std::uint32_t i = 0; i < 3; ++i) {
            fibers.emplace_back([&, i] { statuses.push_back(f.query(i, "0", "all").status); });
            boost::this_fiber::sleep_for(milliseconds{10});
        }
        for (auto& fiber : fibers) {
            fiber.join();
        }
        CHECK(statuses ==
              std::vector{attempt_status::shed, attempt_status::ok, attempt_status::ok});
        const auto late = f.query(9, "0", "all", {{1}, {1}}, milliseconds{20});
        CHECK(late.status == attempt_status::shed);
    });
}

TEST_CASE("a cancel frees the slot of an executing query") {
    fixture f{constant_latency(milliseconds{1500})};
    f.on_client([&] {
        const auto begin = std::chrono::steady_clock::now();
        boost::fibers::fiber running{[&] { f.query(4, "0", "all"); }};
        boost::this_fiber::sleep_for(milliseconds{50});
        const auto cancelled =
            f.call("/cancel", wire::encode_cancel(model::request_id::trusted("r"), 4));
        CHECK(cancelled.response.body == R"({"cancelled":true})");
        running.join();
        CHECK(std::chrono::steady_clock::now() - begin < milliseconds{900});
    });
    CHECK(f.server().counters().cancelled == 1);
}

TEST_CASE("a crash loses all connections without replies, and a restart serves again") {
    auto behaviour = constant_latency(milliseconds{100});
    behaviour.crash_text = "poison";
    fixture f{behaviour};
    f.on_client([&] {
        attempt_status other = attempt_status::ok;
        boost::fibers::fiber running{[&] { other = f.query(0, "0", "all").status; }};
        boost::this_fiber::sleep_for(milliseconds{30});
        CHECK(f.query(1, "0", "all poison").status == attempt_status::connection_lost);
        running.join();
        CHECK(other == attempt_status::connection_lost);
        CHECK(f.query(2, "0", "all").status == attempt_status::not_sent);
    });
    REQUIRE(f.server().restart());
    f.on_client([&] { CHECK(f.query(3, "0", "all").status == attempt_status::ok); });
}

TEST_CASE("executed actions are counted by request key and a draining server executes none") {
    fixture f;
    const model::action_request action{
        model::request_id::trusted("r"),
        model::searcher_id::trusted("acme"),
        {model::service_id::trusted("loans"), model::shard_id::trusted("1")},
        "100-a",
        "book",
        std::chrono::steady_clock::now() + std::chrono::seconds{5}};
    f.on_client([&] {
        const auto body = wire::encode_backend_action(action, std::chrono::steady_clock::now());
        CHECK(f.call("/action", body).status == runtime::call_status::answered);
        CHECK(f.call("/action", body).status == runtime::call_status::answered);
        CHECK(f.call("/control", R"({"draining":true})").response.status == 200);
        const auto refused = f.call("/action", body).response.body;
        CHECK(refused.find("draining") != std::string::npos);
        CHECK(f.call("/control", R"({"slotz":1})").response.status == 400);
    });
    CHECK(f.server().counters().actions_executed ==
          std::map<std::string, std::uint64_t>{{"100-a", 2}});
}

TEST_CASE("load reports repeat an old value while they lag and state a false one when told to") {
    auto behaviour = constant_latency(milliseconds{100});
    behaviour.report = load_report::lagging;
    behaviour.report_lag = std::chrono::seconds{10};
    fixture f{behaviour};
    f.on_client([&] {
        double first = 0;
        boost::fibers::fiber a{[&] { first = f.query(0, "0", "all").reported_load; }};
        boost::this_fiber::sleep_for(milliseconds{30});
        boost::fibers::fiber b{[&] { f.query(1, "0", "all"); }};
        a.join();
        b.join();
        CHECK(first > 0);
        CHECK(f.query(2, "0", "all").reported_load == first);
        f.call("/control", R"({"load_report":"fixed","load":0.75})");
        CHECK(f.query(3, "0", "all").reported_load == 0.75);
        f.call("/control", R"({"load_report":"exact"})");
        CHECK(f.query(4, "0", "all").reported_load == 0);
    });
}

TEST_CASE("stragglers and cold starts are slow") {
    auto behaviour = constant_latency(milliseconds{10});
    behaviour.straggle_factor = 5.0;
    fixture f{behaviour};
    const auto query_time = [&](std::uint32_t attempt) {
        const auto begin = std::chrono::steady_clock::now();
        f.on_client([&] { f.query(attempt, "0", "all"); });
        return std::chrono::steady_clock::now() - begin;
    };
    CHECK(query_time(0) >= milliseconds{50});
    f.server().change([](backend_behaviour& it) {
        it.straggle_factor = 1.0;
        it.cold_start = std::chrono::seconds{100};
    });
    CHECK(query_time(1) >= milliseconds{80});
}

}  // namespace
}  // namespace poplarfront::standins
