#include <catch2/catch.hpp>

#include "processes/tier.h"

using namespace poplarfront::process_tests;

// Guards against answers that mix index versions while backend servers change theirs one by one.
TEST_CASE("No answer mixes index versions during a version change", "[index]") {
    tier tier{{}};
    search_load load{tier, {0, 1, 2}, "all"};
    // Each backend server holds both versions first, so that one version is common at all times.
    for (const auto* versions : {R"({"oldest_version": 1, "newest_version": 2})",
                                 R"({"oldest_version": 2, "newest_version": 2})"}) {
        for (std::size_t n = 0; n < tier.backends(); ++n) {
            tier.control_backend(n, versions);
            std::this_thread::sleep_for(milliseconds{50});
        }
        std::this_thread::sleep_for(milliseconds{500});
    }
    const auto answers = load.stop();
    std::size_t mixed = 0;
    for (const auto& it : answers) {
        mixed += it.is_one_version() ? 0 : 1;
    }
    INFO("first incomplete: " << first_incomplete(answers));
    CHECK(mixed == 0);
    CHECK(incomplete(answers) == 0);
    REQUIRE(!answers.empty());
    CHECK(answers.back().index_version == 2);
    WARN(answers.size() << " searches, " << mixed << " mixed, " << incomplete(answers)
                        << " incomplete");
}
