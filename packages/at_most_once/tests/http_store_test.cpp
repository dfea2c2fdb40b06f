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

constexpr wall_time now_wall = std::chrono::hours{500'000};

/// A claim table over the store stand-in, as one instance has it.
struct instance {
    using completions = store::weak_completion_handler<instance>;
    using async_store = store::async_store_adapter<store::http_store_client, completions>;

    instance(const std::shared_ptr<runtime::fiber_thread>& thread,
             const std::shared_ptr<store::http_store_client>& client,
             const std::shared_ptr<completions>& bound, std::uint64_t seed)
        : random(seed),
          store(thread, client, bound, milliseconds{300}),
          claims(clock, random, store, claim_policy{}) {}

    void on_read(store::call_id call, const store::read_outcome& o) { claims.on_read(call, o); }
    void on_write(store::call_id call, const store::write_outcome& o) { claims.on_write(call, o); }

    /// Claims one key and waits for the end.
    claim_event claim(std::uint64_t key) {
        const auto deadline = clock.now() + milliseconds{1000};
        claims.claim({{1, key, key}, now_wall, deadline}, now_wall);
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

TEST_CASE("claims over HTTP survive a lost write reply, an outage and a second instance") {
    const auto thread = runtime::fiber_thread::create("claims");
    auto standin = standins::store_standin::create(thread, {});
    REQUIRE(standin);
    const auto address = "127.0.0.1:" + std::to_string(standin.value()->port());
    thread->run([&] {
        const auto http = runtime::http_client::create(thread);
        const auto client = store::http_store_client::create(http, {address, 4});
        const auto create = [&](std::uint64_t seed) {
            const auto bound = std::make_shared<instance::completions>();
            auto created = std::make_shared<instance>(thread, client, bound, seed);
            bound->bind(created);
            return created;
        };
        const auto fault = [&](const std::string& body) {
            const auto deadline = std::chrono::steady_clock::now() + milliseconds{500};
            CHECK(http->call(address, {"POST", "/fault", body}, deadline, 8).response.status ==
                  200);
        };
        const auto one = create(1);
        const auto two = create(2);
        fault(R"({"lose_write_replies":1})");
        CHECK(one->claim(1).status == claim_status::held);
        CHECK(one->claims.count().read_backs == 1);
        CHECK(two->claim(1).status == claim_status::in_progress);
        fault(R"({"outage":true})");
        CHECK(two->claim(2).reason == "store_unavailable");
        fault(R"({"outage":false})");
        CHECK(two->claim(2).status == claim_status::held);
        CHECK(one->claim(2).status == claim_status::in_progress);
    });
    standin.value()->stop();
    thread->stop();
}

}  // namespace
}  // namespace poplarfront::at_most_once
