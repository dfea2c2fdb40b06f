#include <signal.h>

#include <catch2/catch.hpp>
#include <future>

#include "processes/tier.h"

using namespace poplarfront::process_tests;

namespace {

constexpr std::size_t stopped = 0;

unsigned health(const tier& tier, std::size_t instance) {
    const auto result =
        tier.call(tier.operator_address(instance), {"GET", "/healthz", "", ""}, seconds{1});
    return result.status == poplarfront::runtime::call_status::answered ? result.response.status
                                                                        : 0;
}

}  // namespace

// Guards against a planned stop that cuts off searches, its own or those it executes for others.
TEST_CASE("SIGTERM interrupts no search in flight", "[stop]") {
    constexpr std::size_t searches = 6;
    constexpr auto drain_limit = seconds{5};
    tier tier{{.instances = 3,
               .shards = 3,
               .backend_arguments = {"--latency-us", "500000", "--latency-sigma", "0"}}};
    std::vector<std::future<search_view>> answers;
    for (std::size_t i = 0; i < searches; ++i) {
        answers.push_back(std::async(std::launch::async, [&tier, i] {
            return tier.search(i % tier.instances(), "all", seconds{4});
        }));
    }
    std::this_thread::sleep_for(milliseconds{200});
    tier.instance(stopped).signal(SIGTERM);
    const auto signalled = std::chrono::steady_clock::now();
    CHECK(eventually(milliseconds{200}, [&] { return health(tier, stopped) == 503; }));
    CHECK(eventually(seconds{2}, [&] {
        return tier.status_seen(1, stopped) == "leaving" &&
               tier.status_seen(2, stopped) == "leaving";
    }));
    for (auto& it : answers) {
        const auto answer = it.get();
        INFO(answer.text);
        CHECK(answer.status == 200);
        CHECK(answer.complete);
    }
    const auto code = tier.instance(stopped).wait(drain_limit + seconds{2});
    const auto took = std::chrono::steady_clock::now() - signalled;
    WARN("stopped after " << std::chrono::duration_cast<milliseconds>(took).count() << " ms");
    INFO(tier.instance(stopped).output());
    CHECK(code == 0);
}

// Guards against requests lost behind a load balancer that sends new ones until its health check
// has failed.
TEST_CASE("A stopping instance serves new searches until its delay is over", "[stop]") {
    constexpr auto balancer_lag = seconds{1};
    tier tier{{.instances = 3, .shards = 3}};
    tier.instance(stopped).signal(SIGTERM);
    const auto end = std::chrono::steady_clock::now() + balancer_lag;
    std::vector<search_view> answers;
    while (std::chrono::steady_clock::now() < end) {
        answers.push_back(tier.search(stopped, "all"));
        std::this_thread::sleep_for(milliseconds{10});
    }
    INFO(answers.size() << " searches, first incomplete: " << first_incomplete(answers));
    CHECK(incomplete(answers) == 0);
    CHECK(tier.instance(stopped).wait(seconds{7}) == 0);
}
