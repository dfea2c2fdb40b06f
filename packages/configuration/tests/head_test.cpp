#include <catch2/catch.hpp>

#include "configuration/head.h"
#include "kernel/clock_and_random_sources.h"

namespace poplarfront::configuration {
namespace {

section_document document(std::string_view text) {
    const auto parsed = section_document::parse("policy", text);
    return parsed ? parsed.value() : section_document{};
}

section_document random_document(kernel::seeded_random_source& random) {
    section_document::entry_map entries;
    const auto count = kernel::uniform_below(random, 12);
    for (std::uint64_t n = 0; n < count; ++n) {
        entries.insert_or_assign({"h" + std::to_string(kernel::uniform_below(random, 3)),
                                  "k" + std::to_string(kernel::uniform_below(random, 5))},
                                 std::to_string(kernel::uniform_below(random, 4)));
    }
    return section_document{std::move(entries)};
}

TEST_CASE("canonical text does not depend on order, spacing or comments and parses back") {
    const auto first = document("; note\n[b]\nx = 1\n[a]\ny=;2\n");
    const auto second = document("[a]\ny=;2\n\n[b]\n  x =   1 ; note\n");
    CHECK(first == second);
    CHECK(first.text() == "[a]\ny=;2\n[b]\nx=1\n");
    CHECK(document(first.text()) == first);
    CHECK(document("z=1\n[a]\nb=2\n").text() == "z=1\n[a]\nb=2\n");
}

TEST_CASE("applying the difference gives the target, also when differences are composed") {
    kernel::seeded_random_source random{7};
    for (int n = 0; n < 500; ++n) {
        const auto a = random_document(random);
        const auto b = random_document(random);
        const auto c = random_document(random);
        REQUIRE(apply(a, difference(a, b)) == b);
        REQUIRE(apply(a, compose(difference(a, b), difference(b, c))) == c);
        REQUIRE(difference(a, a).empty());
    }
}

TEST_CASE("a head keeps the latest changes within its bounds and a contiguous tail") {
    head state{model::deployment_id::trusted("d"), {}, {}, {}, {}};
    for (int n = 0; n < 100; ++n) {
        const auto name = "n" + std::to_string(n);
        state = state.accept("policy", {{}, {}, 0, name},
                             {{{{"h", "k"}, std::string(std::size_t{10} * 1024, 'x')}}});
    }
    CHECK(state.document_revision.value == 100);
    CHECK(state.nonces.size() == max_recent_nonces);
    CHECK(state.has_nonce("n36"));
    CHECK_FALSE(state.has_nonce("n35"));
    CHECK(state.recent.size() == 25);
    CHECK(state.recent.back().revision.value == 100);
    CHECK(state.recent.back().previous.value == 99);
    CHECK(state.update_since({98}).recent.size() == 2);
    CHECK(state.update_since({98}).nonces.empty());

    const delta large{{{{"h", "k"}, std::string(max_recent_bytes + 1, 'x')}}};
    CHECK(state.accept("policy", {}, large).recent.empty());
}

TEST_CASE("a section larger than a store value is split without loss") {
    const auto blobs = split_blob(model::deployment_id::trusted("d"), "shards", "n", "abcdefg", 3);
    REQUIRE(blobs.size() == 3);
    CHECK(blobs[0].text + blobs[1].text + blobs[2].text == "abcdefg");
    CHECK(split_blob(model::deployment_id::trusted("d"), "shards", "n", "", 3).size() == 1);
}

}  // namespace
}  // namespace poplarfront::configuration
