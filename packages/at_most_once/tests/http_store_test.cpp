#include <boost/fiber/operations.hpp>
#include <catch2/catch.hpp>

#include "at_most_once/claim_table.h"
#include "kernel/clock_and_random_sources.h"
#include "standins/store/store_standin.h"
#include "store/async_store_adapter.h"
#include "store/http_store_client.h"
#include "store/weak_completion_handler.h"
#include "wire/claims_codec.h"

namespace poplarfront::at_most_once {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t max_store_connections = 4;
constexpr std::size_t max_fault_connections = 8;
constexpr wall_time wall_now = std::chrono::hours{500'000};

/// The claim table of one instance, with the store stand-in behind it.
struct instance {
    using completions = store::weak_completion_handler<instance>;
    using async_store = store::async_store_adapter<store::http_store_client, completions>;

    instance(const std::shared_ptr<runtime::fiber_thread>& thread,
             const std::shared_ptr<store::http_store_client>& client,
             const std::shared_ptr<completions>& store_completion_handler, std::uint64_t seed)
        : random(seed),
          store(thread, client, store_completion_handler, milliseconds{300}),
          claims(clock, random, store, claim_policy{}) {}

    void on_read(store::call_id call, const store::read_outcome& outcome) {
        claims.on_read(call, outcome);
    }
    void on_write(store::call_id call, const store::write_outcome& outcome) {
        claims.on_write(call, outcome);
    }

    /// Claims one key and waits for the result. Returns a default event, with the status `refused`
    /// and no reason, if there is none by the deadline.
    claim_event claim(std::uint64_t key) {
        const auto deadline = clock.now() + milliseconds{1000};
        claims.claim({{1, key, key}, wall_now, deadline}, wall_now);
        while (clock.now() < deadline) {
            boost::this_fiber::sleep_for(milliseconds{2});
            claims.on_timer();
            if (auto events = claims.take_events(); !events.empty()) {
                return events.front();
            }
        }
        return {};
    }

    kernel::steady_clock_source clock;
    kernel::seeded_random_source random;
    async_store store;
    claim_table<kernel::steady_clock_source, kernel::seeded_random_source, async_store,
                wire::claims_codec>
        claims;
};

TEST_CASE(
    "over HTTP, a claim is held by one instance only, despite a lost write reply and an outage") {
    const auto thread = runtime::fiber_thread::create("claims");
    auto standin = standins::store_standin::create(thread, {});
    REQUIRE(standin);
    const auto address = "127.0.0.1:" + std::to_string(standin.value()->port());
    thread->run([&] {
        const auto http = runtime::http_client::create(thread);
        const auto client =
            store::http_store_client::create(http, {address, max_store_connections});
        const auto create = [&](std::uint64_t seed) {
            const auto store_completion_handler = std::make_shared<instance::completions>();
            auto created =
                std::make_shared<instance>(thread, client, store_completion_handler, seed);
            store_completion_handler->bind(created);
            return created;
        };
        const auto inject_fault = [&](const std::string& body) {
            const auto deadline = std::chrono::steady_clock::now() + milliseconds{500};
            CHECK(http->call(address, {"POST", "/fault", body}, deadline, max_fault_connections)
                      .response.status == 200);
        };
        const auto one = create(1);
        const auto two = create(2);
        inject_fault(R"({"lose_write_replies":1})");
        CHECK(one->claim(1).status == claim_status::held);
        CHECK(one->claims.count().read_backs == 1);
        CHECK(two->claim(1).status == claim_status::in_progress);
        inject_fault(R"({"outage":true})");
        CHECK(two->claim(2).reason == "store_unavailable");
        inject_fault(R"({"outage":false})");
        CHECK(two->claim(2).status == claim_status::held);
        CHECK(one->claim(2).status == claim_status::in_progress);
    });
    standin.value()->stop();
    thread->stop();
}

}  // namespace
}  // namespace poplarfront::at_most_once
