#include <catch2/catch.hpp>

#include "processes/tier.h"

using namespace poplarfront::process_tests;

// Guards against a thread of any process that polls or spins while it waits.
TEST_CASE("idle processes use under 1% of a core", "[idle]") {
    constexpr auto period = seconds{10};
    constexpr auto allowed = milliseconds{100};
    tier tier{{.instances = 3, .shards = 2}};
    REQUIRE(tier.search(0, "all").complete);
    const std::vector<std::pair<std::string, poplarfront::test_support::child_process*>> processes{
        {"poplarfrontd", &tier.instance(0)},
        {"poplarfrontd", &tier.instance(2)},
        {"store_standin", &tier.store()},
        {"backend_server_standin", &tier.backend(0)}};
    std::vector<milliseconds> before;
    for (const auto& [name, process] : processes) {
        before.push_back(process->cpu_time());
    }
    std::this_thread::sleep_for(period);
    for (std::size_t i = 0; i < processes.size(); ++i) {
        const auto used = processes[i].second->cpu_time() - before[i];
        INFO(processes[i].first << " used " << used.count() << " ms in 10 s");
        CHECK(used < allowed);
        WARN(processes[i].first << " used " << used.count() << " ms in 10 s");
    }
}
