#include <signal.h>

#include <catch2/catch.hpp>

#include "processes/tier.h"

using namespace poplarfront::process_tests;

namespace {

constexpr auto in_force_limit = seconds{5};

/// Whether the document revision of every instance is at least `revision`.
bool all_have(const tier& tier, std::uint64_t revision) {
    for (std::size_t n = 0; n < tier.instances(); ++n) {
        if (tier.revision(n) < revision) {
            return false;
        }
    }
    return true;
}

void check_survives_without_store(tier& tier) {
    const auto revision = tier.revision(0);
    search_load load{tier, {0, 1, 2}, "all"};
    const auto started = tier.start_instance(tier.instances());
    CHECK(eventually(in_force_limit, [&] { return tier.revision(started) == revision; }));
    CHECK(eventually(in_force_limit, [&] { return tier.search(started, "all").complete; }));
    std::this_thread::sleep_for(seconds{1});
    const auto answers = load.stop();
    INFO("first incomplete: " << first_incomplete(answers));
    CHECK(!answers.empty());
    CHECK(incomplete(answers) == 0);
    CHECK(all_have(tier, revision));
}

}  // namespace

// Guards against searches that need the store, and against a new instance that cannot serve
// without it; also against a section that is lost if the store fails right after its acceptance.
TEST_CASE("A store outage stops neither searches nor an accepted section", "[store]") {
    tier tier{{}};
    const auto before = tier.revision(0);
    const auto file = tier.write_file("p.ini", tier.policy_section() + "\n[canary]\nwidth = 9\n");
    const auto written = tier.poplarctl({"write", "policy", file.string()});
    const auto accepted = std::chrono::steady_clock::now();
    tier.set_store_fault(R"({"outage": true})");
    INFO(written.output);
    REQUIRE(written.code == 0);
    CHECK(eventually(in_force_limit, [&] { return all_have(tier, before + 1); }));
    const auto took = std::chrono::steady_clock::now() - accepted;
    WARN("in force everywhere after " << std::chrono::duration_cast<milliseconds>(took).count()
                                      << " ms");
    check_survives_without_store(tier);
    tier.set_store_fault(R"({"outage": false})");
    std::this_thread::sleep_for(seconds{1});
    CHECK(all_have(tier, before + 1));
}

// Guards against calls to a store that accepts connections but never answers holding up searches.
TEST_CASE("A frozen store stops no searches", "[store]") {
    tier tier{{}};
    tier.store().signal(SIGSTOP);
    check_survives_without_store(tier);
    const auto refused = tier.poplarctl({"--timeout-ms", "500", "list"});
    INFO(refused.output);
    CHECK(refused.code == 3);
    tier.store().signal(SIGCONT);
    CHECK(tier.publish("policy", tier.policy_section() + "\n[canary]\nwidth = 7\n").code == 0);
}

// Guards against an instance that serves from an empty configuration.
TEST_CASE("An instance without store and peers refuses as not run", "[store]") {
    tier tier{{.instances = 1, .shards = 1, .publish = false}};
    tier.store().signal(SIGKILL);
    const auto answer = tier.search(0, "all");
    CHECK(answer.status == 503);
    CHECK(answer.text.find("no_configuration") != std::string::npos);
    CHECK(answer.text.find(R"("not_run":true)") != std::string::npos);
}
