#include "at_most_once/request_key.h"

#include <catch2/catch.hpp>
#include <map>

#include "at_most_once/claim.h"

namespace poplarfront::at_most_once {
namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::minutes;

TEST_CASE("texts without an issue time or a unique part are not request keys") {
    for (const auto* text :
         {"", "-", "-a", "5", "5-", "a-5", "+5-a", "05-a", "5 -a", "5-a b", "1000000000000000-a"}) {
        INFO(text);
        CHECK_FALSE(request_key::create(text));
    }
    const auto key = request_key::create("1700000000000-invoice-7");
    REQUIRE(key);
    CHECK(key.value().issued() == milliseconds{1'700'000'000'000});
    CHECK(key.value().unique_part() == "invoice-7");
}

TEST_CASE("a key whose record may be purged, or that could outlive its record, is refused") {
    const auto key = request_key::create("1700000000000-a").value();
    const auto issued = key.issued();
    CHECK(key.validity(issued) == key_validity::valid);
    CHECK(key.validity(issued + hours{23}) == key_validity::valid);
    CHECK(key.validity(issued + hours{23} + milliseconds{1}) == key_validity::expired);
    CHECK(key.validity(issued - minutes{5}) == key_validity::valid);
    CHECK(key.validity(issued - minutes{5} - milliseconds{1}) == key_validity::not_yet_valid);
}

TEST_CASE("equal keys of two searchers are different actions") {
    const auto key = request_key::create("1700000000000-a").value();
    const auto one = claim_key_of(model::searcher_id::trusted("one"), key);
    const auto two = claim_key_of(model::searcher_id::trusted("two"), key);
    CHECK(one != two);
    CHECK(one == claim_key_of(model::searcher_id::trusted("one"), key));
}

TEST_CASE("homes are spread evenly, and a lost instance moves only its own buckets") {
    constexpr std::uint32_t buckets = 1024;
    std::vector<model::instance_id> instances;
    for (int i = 0; i < 16; ++i) {
        instances.push_back(model::instance_id::trusted("instance-" + std::to_string(i)));
    }
    const std::vector<model::instance_id> fewer{instances.begin() + 1, instances.end()};
    std::map<model::instance_id, int> share;
    for (std::uint32_t bucket = 0; bucket < buckets; ++bucket) {
        const auto home = home_of(bucket, instances).value();
        ++share[home];
        CHECK((home == instances.front() || home_of(bucket, fewer) == home));
    }
    for (const auto& [id, n] : share) {
        CHECK(n > 32);
        CHECK(n < 128);
    }
    CHECK_FALSE(home_of(0, {}));
}

}  // namespace
}  // namespace poplarfront::at_most_once
