#include <catch2/catch.hpp>

#include "processes/tier.h"

using namespace poplarfront::process_tests;

namespace {

constexpr auto notice_limit = seconds{2};
constexpr auto observed_time = seconds{2};
constexpr std::size_t drained = 0;

/// Checks that the server gets no query from the notice limit on while all instances search.
void check_no_new_queries(const tier& tier, search_load& load) {
    std::this_thread::sleep_for(notice_limit);
    const auto at_limit = tier.backend_count(drained, "queries");
    const auto partner = tier.backend_count(drained + 1, "queries");
    std::this_thread::sleep_for(observed_time);
    CHECK(tier.backend_count(drained, "queries") == at_limit);
    CHECK(tier.backend_count(drained + 1, "queries") > partner);
    const auto answers = load.stop();
    INFO("first incomplete: " << first_incomplete(answers));
    CHECK(incomplete(answers) == 0);
    WARN(answers.size() << " searches, " << incomplete(answers) << " incomplete, "
                        << tier.backend_count(drained, "queries") - at_limit
                        << " queries after the limit");
}

}  // namespace

// Guards against an instance that misses the notice of the leaving section.
TEST_CASE("A backend server in section leaving gets no query after 2 s", "[draining]") {
    tier tier{{.mode = "direct"}};
    search_load load{tier, {0, 1, 2}, "all"};
    std::this_thread::sleep_for(milliseconds{500});
    CHECK(tier.backend_count(drained, "queries") > 0);
    const auto file = tier.write_file(
        "l.ini", "[backend servers]\n" + tier::server_name(drained) + " = leaving\n");
    const auto written = tier.poplarctl({"write", "leaving", file.string()});
    INFO(written.output);
    REQUIRE(written.code == 0);
    check_no_new_queries(tier, load);
}

// Guards against an instance that has not itself seen the status `draining` sending on.
TEST_CASE("A backend server that says it drains gets no query after 2 s", "[draining]") {
    tier tier{{.mode = "direct"}};
    search_load load{tier, {0, 1, 2}, "all"};
    std::this_thread::sleep_for(milliseconds{500});
    CHECK(tier.backend_count(drained, "queries") > 0);
    tier.control_backend(drained, R"({"draining": true})");
    check_no_new_queries(tier, load);
}
