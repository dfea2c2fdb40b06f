#include "store/http_store_client.h"

#include <boost/fiber/operations.hpp>
#include <catch2/catch.hpp>

#include "standins/store/store_standin.h"

namespace poplarfront::store {
namespace {

using std::chrono::milliseconds;

kernel::time_point in(int ms) {
    return std::chrono::steady_clock::now() + milliseconds{ms};
}

/// A store stand-in and a client of it on one thread.
class fixture {
public:
    fixture() {
        standins::store_standin_options options;
        options.instance_list_delay = milliseconds{150};
        auto created = standins::store_standin::create(thread, options);
        REQUIRE(created);
        standin = std::move(created.value());
        address = "127.0.0.1:" + std::to_string(standin->port());
        client = http_store_client::create(http, {address, 16});
    }
    ~fixture() {
        standin->stop();
        thread->stop();
    }
    fixture(const fixture&) = delete;
    fixture& operator=(const fixture&) = delete;

    runtime::http_response post(const std::string& target, const std::string& body) const {
        return http->call(address, {"POST", target, body, ""}, in(1000), 16).response;
    }
    void inject_fault(const std::string& body) const { CHECK(post("/fault", body).status == 200); }

    std::shared_ptr<runtime::fiber_thread> thread = runtime::fiber_thread::create("store");
    std::shared_ptr<runtime::http_client> http = runtime::http_client::create(thread);
    std::unique_ptr<standins::store_standin> standin;
    std::string address;
    std::shared_ptr<http_store_client> client;
};

TEST_CASE("a compare-and-swap with a stale version writes nothing and returns the current one") {
    fixture f;
    f.thread->run([&] {
        CHECK(f.client->read("a/b", in(1000)) == read_outcome{store_status::ok, {"", 0}});
        const auto first = f.client->compare_and_swap("a/b", 0, "one", in(1000));
        CHECK(first.status == store_status::ok);
        CHECK(f.client->compare_and_swap("a/b", 0, "two", in(1000)) ==
              write_outcome{store_status::conflict, first.version});
        CHECK(f.client->read("a/b", in(1000)) ==
              read_outcome{store_status::ok, {"one", first.version}});
        const auto second = f.client->compare_and_swap("a/b", first.version, "two", in(1000));
        CHECK(second.version > first.version);
        CHECK(f.client->counters() == store_call_counters{2, 3, 0, 1, 0, 0});
    });
}

TEST_CASE("a write whose reply is lost or late has an unknown outcome, even if it took effect") {
    fixture f;
    f.thread->run([&] {
        f.inject_fault(R"({"lose_write_replies":1})");
        CHECK(f.client->compare_and_swap("k", 0, "v", in(1000)).status == store_status::unknown);
        CHECK(f.client->read("k", in(1000)).value.bytes == "v");
        f.inject_fault(R"({"cut_requests":1})");
        CHECK(f.client->compare_and_swap("k", 9, "w", in(1000)).status == store_status::unknown);
        CHECK(f.client->read("k", in(1000)).value.bytes == "v");
        f.inject_fault(R"({"delay_ms":200})");
        CHECK(f.client->compare_and_swap("k", 9, "w", in(50)).status == store_status::unknown);
    });
}

TEST_CASE(
    "calls during an outage, to a closed port or with an oversized value return unavailable") {
    fixture f;
    f.thread->run([&] {
        f.inject_fault(R"({"outage":true})");
        CHECK(f.client->read("k", in(1000)).status == store_status::unavailable);
        CHECK(f.client->compare_and_swap("k", 0, "v", in(1000)).status ==
              store_status::unavailable);
        f.inject_fault(R"({"outage":false})");
        CHECK(f.client->read("k", in(1000)).value.version == 0);
        const auto closed = http_store_client::create(f.http, {"127.0.0.1:1", 1});
        CHECK(closed->compare_and_swap("k", 0, "v", in(200)).status == store_status::unavailable);
        const std::string large(max_value_bytes + 1, 'x');
        CHECK(f.client->compare_and_swap("k", 0, large, in(1000)).status ==
              store_status::unavailable);
        const std::string largest(max_value_bytes, 'x');
        CHECK(f.client->compare_and_swap("k", 0, largest, in(1000)).status == store_status::ok);
    });
}

TEST_CASE("a watch returns on a change, at its deadline, and when an outage starts") {
    fixture f;
    f.thread->run([&] {
        const auto version = f.client->compare_and_swap("k", 0, "v", in(1000)).version;
        CHECK(f.client->watch("k", 0, in(1000)).value.bytes == "v");
        CHECK(f.client->watch("k", version, in(50)) ==
              read_outcome{store_status::ok, {"", version}});
        boost::fibers::fiber writer{[&] {
            boost::this_fiber::sleep_for(milliseconds{30});
            f.client->compare_and_swap("k", version, "w", in(1000));
        }};
        CHECK(f.client->watch("k", version, in(5000)).value.bytes == "w");
        writer.join();
        boost::fibers::fiber fault{[&] {
            boost::this_fiber::sleep_for(milliseconds{30});
            f.inject_fault(R"({"outage_ms":100})");
        }};
        CHECK(f.client->watch("k", version + 1, in(5000)).status == store_status::unavailable);
        fault.join();
    });
}

TEST_CASE("keys attached to a lease are deleted when the lease is not renewed") {
    fixture f;
    f.thread->run([&] {
        CHECK(f.post("/lease", R"({"ttl_ms":100})").body == R"({"lease":1})");
        const auto put = f.http->call(f.address, {"PUT", "/kv/l?lease=1", "v", "0"}, in(1000), 16);
        CHECK(put.response.status == 200);
        boost::this_fiber::sleep_for(milliseconds{60});
        CHECK(f.post("/lease/1", "").status == 200);
        boost::this_fiber::sleep_for(milliseconds{60});
        CHECK(f.client->read("l", in(1000)).value.bytes == "v");
        boost::this_fiber::sleep_for(milliseconds{120});
        CHECK(f.client->read("l", in(1000)).value.version == 0);
        CHECK(f.post("/lease/1", "").status == 404);
    });
}

TEST_CASE("changes of the platform's instance list become visible after a delay") {
    fixture f;
    f.thread->run([&] {
        const auto put =
            f.http->call(f.address, {"PUT", "/kv/platform/instances", "a", ""}, in(1000), 16);
        CHECK(put.response.status == 202);
        CHECK(f.client->read("platform/instances", in(1000)).value.version == 0);
        CHECK(f.client->watch("platform/instances", 0, in(2000)).value.bytes == "a");
    });
}

}  // namespace
}  // namespace poplarfront::store
