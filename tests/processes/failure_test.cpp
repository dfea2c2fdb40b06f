#include <signal.h>

#include <catch2/catch.hpp>

#include "processes/tier.h"

using namespace poplarfront::process_tests;

namespace {

constexpr auto after_fault = seconds{1};
constexpr auto freeze_time = seconds{6};

}  // namespace

// Guards against incomplete answers while the owners of a shard group include a lost instance.
TEST_CASE("Searches stay complete after an owner was killed", "[failure]") {
    tier tier{{.instances = 4}};
    search_load load{tier, {1, 2, 3}, "all"};
    std::this_thread::sleep_for(milliseconds{500});
    tier.instance(0).signal(SIGKILL);
    CHECK(eventually(seconds{10}, [&] { return tier.status_seen(1, 0) == "failed"; }));
    std::this_thread::sleep_for(after_fault);
    const auto answers = load.stop();
    INFO("first incomplete: " << first_incomplete(answers));
    CHECK(incomplete(answers) == 0);
    WARN(answers.size() << " searches, " << incomplete(answers) << " incomplete");
}

// Guards against a frozen owner that withholds answers, and against one that is not taken back.
TEST_CASE("Searches stay complete while an owner is frozen, and it comes back", "[failure]") {
    tier tier{{.instances = 4}};
    search_load load{tier, {1, 2, 3}, "all"};
    std::this_thread::sleep_for(milliseconds{500});
    tier.instance(0).signal(SIGSTOP);
    std::this_thread::sleep_for(freeze_time);
    CHECK(tier.status_seen(1, 0) != "alive");
    tier.instance(0).signal(SIGCONT);
    const auto resumed = std::chrono::steady_clock::now();
    for (std::size_t viewer = 0; viewer < tier.instances(); ++viewer) {
        CHECK(eventually(seconds{10}, [&] { return tier.status_seen(viewer, 0) == "alive"; }));
    }
    const auto took = std::chrono::steady_clock::now() - resumed;
    const auto answers = load.stop();
    INFO("first incomplete: " << first_incomplete(answers));
    CHECK(incomplete(answers) == 0);
    CHECK(tier.search(0, "all").complete);
    WARN(answers.size() << " searches, " << incomplete(answers) << " incomplete; alive again "
                        << std::chrono::duration_cast<milliseconds>(took).count()
                        << " ms after the freeze");
}
