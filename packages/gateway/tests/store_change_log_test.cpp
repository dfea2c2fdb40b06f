#include "gateway/store_change_log.h"

#include <catch2/catch.hpp>

namespace poplarfront::gateway {
namespace {

std::vector<std::string> keys(const store_update& news) {
    std::vector<std::string> all;
    for (const auto& it : news.changes) {
        all.push_back((it.deleted ? "-" : "+") + it.key);
    }
    return all;
}

using names = std::vector<std::string>;

TEST_CASE("an instance that knows a part gets the rest, deletions included") {
    store_change_log log;
    log.add({5, true, {{"a", "1", 3, false}, {"b", "1", 4, false}}});
    log.add({8, false, {{"c", "1", 6, false}, {"a", "", 7, true}}});
    const auto news = log.since(6);
    CHECK_FALSE(news.complete);
    CHECK(news.revision == 8);
    CHECK(keys(news) == names{"-a"});
    CHECK(keys(log.since(5)) == names{"+c", "-a"});
    CHECK(log.since(8).changes.empty());
}

TEST_CASE("an instance that knows nothing, or less than is remembered, gets all keys") {
    store_change_log log{1};
    log.add({5, true, {{"a", "1", 3, false}, {"b", "1", 4, false}}});
    CHECK(log.since(0).complete);
    CHECK(log.since(4).complete);
    log.add({9, false, {{"a", "", 8, true}, {"b", "", 9, true}}});
    CHECK(log.since(7).complete);
    CHECK_FALSE(log.since(8).complete);
}

TEST_CASE("older news does not replace newer news") {
    store_change_log log;
    log.add({9, true, {{"a", "new", 9, false}}});
    log.add({9, false, {{"a", "old", 4, false}, {"a", "", 5, true}}});
    REQUIRE(log.since(0).changes.size() == 1);
    CHECK(log.since(0).changes[0].value == "new");
}

}  // namespace
}  // namespace poplarfront::gateway
