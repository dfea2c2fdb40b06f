#include "gateway/store_change_log.h"

#include <catch2/catch.hpp>

namespace poplarfront::gateway {
namespace {

std::vector<std::string> keys(const store_update& update) {
    std::vector<std::string> signed_keys;
    for (const auto& it : update.changes) {
        signed_keys.push_back((it.deleted ? "-" : "+") + it.key);
    }
    return signed_keys;
}

using names = std::vector<std::string>;

TEST_CASE("an update holds the changes after a revision, including deletions") {
    store_change_log log;
    log.add({5, true, {{"a", "1", 3, false}, {"b", "1", 4, false}}});
    log.add({8, false, {{"c", "1", 6, false}, {"a", "", 7, true}}});
    const auto update = log.since(6);
    CHECK_FALSE(update.complete);
    CHECK(update.revision == 8);
    CHECK(keys(update) == names{"-a"});
    CHECK(keys(log.since(5)) == names{"+c", "-a"});
    CHECK(log.since(8).changes.empty());
}

TEST_CASE("an update holds all keys if deletions after the revision may be missing") {
    store_change_log log{1};
    log.add({5, true, {{"a", "1", 3, false}, {"b", "1", 4, false}}});
    CHECK(log.since(0).complete);
    CHECK(log.since(4).complete);
    log.add({9, false, {{"a", "", 8, true}, {"b", "", 9, true}}});
    CHECK(log.since(7).complete);
    CHECK_FALSE(log.since(8).complete);
}

TEST_CASE("an older change does not replace a newer one") {
    store_change_log log;
    log.add({9, true, {{"a", "new", 9, false}}});
    log.add({9, false, {{"a", "old", 4, false}, {"a", "", 5, true}}});
    REQUIRE(log.since(0).changes.size() == 1);
    CHECK(log.since(0).changes[0].value == "new");
}

// Guards against an instance that restarts and takes the changes since a revision that only its
// earlier process knew for all there is (fault soak, seed 2016): it never gets a configuration.
TEST_CASE("an empty log accepts only an update with all keys") {
    store_change_log log;
    store_update changes;
    changes.revision = 20;
    CHECK_FALSE(log.accepts(changes));
    store_update all;
    all.revision = 20;
    all.complete = true;
    CHECK(log.accepts(all));
    log.add(all);
    CHECK_FALSE(log.accepts(changes));
    changes.revision = 21;
    CHECK(log.accepts(changes));
}

// Guards against an instance that restarts, learns an older state from one instance, and then takes
// the changes since a later revision that only its earlier process knew: a key that was deleted in
// between would be in use again.
TEST_CASE("changes since a later revision than the known one are not accepted") {
    store_change_log peer;
    peer.add({5, true, {{"a", "1", 3, false}, {"b", "1", 4, false}}});
    store_change_log restarted;
    restarted.add(peer.since(0));
    peer.add({8, false, {{"a", "", 7, true}}});
    peer.add({9, false, {{"c", "1", 9, false}}});
    CHECK_FALSE(restarted.accepts(peer.since(8)));
    const auto update = peer.since(restarted.revision());
    REQUIRE(restarted.accepts(update));
    restarted.add(update);
    CHECK(restarted.existing() == peer.existing());
}

}  // namespace
}  // namespace poplarfront::gateway
