#include "gateway/store_change_log.h"

#include <catch2/catch.hpp>
#include <string>

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
    const auto update = log.since({6});
    CHECK_FALSE(update.listing);
    CHECK(update.revision == 8);
    CHECK(keys(update) == names{"-a"});
    CHECK(keys(log.since({5})) == names{"+c", "-a"});
    CHECK(log.since({8}).changes.empty());
}

TEST_CASE("an update holds all keys if deletions after the revision may be missing") {
    store_change_log log{1};
    log.add({5, true, {{"a", "1", 3, false}, {"b", "1", 4, false}}});
    CHECK(log.since({0}).listing);
    CHECK(log.since({4}).listing);
    log.add({9, false, {{"a", "", 8, true}, {"b", "", 9, true}}});
    CHECK(log.since({7}).listing);
    CHECK_FALSE(log.since({8}).listing);
}

TEST_CASE("an older change does not replace a newer one") {
    store_change_log log;
    log.add({9, true, {{"a", "new", 9, false}}});
    log.add({9, false, {{"a", "old", 4, false}, {"a", "", 5, true}}});
    REQUIRE(log.since({0}).changes.size() == 1);
    CHECK(log.since({0}).changes[0].value == "new");
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
    all.listing = true;
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
    restarted.add(peer.since({0}));
    peer.add({8, false, {{"a", "", 7, true}}});
    peer.add({9, false, {{"c", "1", 9, false}}});
    CHECK_FALSE(restarted.accepts(peer.since({8})));
    const auto update = peer.since(restarted.position());
    REQUIRE(restarted.accepts(update));
    restarted.add(update);
    CHECK(restarted.existing() == peer.existing());
}

// Guards against a listing after which every follower gets all keys instead of what changed: with
// many keys, such an update exceeds the largest message.
TEST_CASE("an instance that knows the changes before a listing gets what changed") {
    store_change_log log;
    log.add({5, true, {{"a", "1", 3, false}, {"b", "1", 4, false}, {"c", "1", 5, false}}});
    log.add({9, true, {{"a", "1", 3, false}, {"b", "2", 8, false}}});
    const auto update = log.since({5});
    CHECK_FALSE(update.listing);
    CHECK(keys(update) == names{"-c", "+b"});
    CHECK(log.since({9}).changes.empty());
}

// Guards against a key that stays in use at a follower: it was created and deleted while the reader
// did not follow the store, so that the reader never knew it.
TEST_CASE("an instance that knows more than a reader did before a listing gets all keys") {
    store_change_log reader;
    reader.add({5, true, {{"a", "1", 3, false}}});
    store_change_log follower;
    follower.add({7, true, {{"a", "1", 3, false}, {"short-lived", "1", 6, false}}});
    reader.add({9, true, {{"a", "1", 3, false}}});
    const auto update = reader.since(follower.position());
    REQUIRE(follower.accepts(update));
    follower.add(update);
    CHECK(follower.existing() == reader.existing());
}

// Guards against an update that exceeds the largest message, which is then lost.
TEST_CASE("changes and listings are divided, and the parts lead to the same contents") {
    constexpr std::size_t max_bytes = 1000;
    constexpr int key_count = 100;
    store_change_log reader;
    store_update all;
    all.listing = true;
    for (int n = 0; n < key_count; ++n) {
        all.revision = static_cast<std::uint64_t>(n) + 1;
        all.changes.push_back(
            {"key" + std::to_string(n), std::string(50, 'x'), all.revision, false});
    }
    reader.add(all);
    store_change_log follower;
    int parts = 0;
    const auto follow = [&] {
        bool more = true;
        for (parts = 0; more && parts < key_count; ++parts) {
            const auto update = reader.update_for(follower.position(), max_bytes);
            REQUIRE(update);
            CHECK(size_of(*update) <= max_bytes + size_of(all.changes.back()));
            REQUIRE(follower.accepts(*update));
            follower.add(*update);
            more = update->more;
        }
    };
    follow();
    CHECK(parts > 5);
    CHECK(follower.existing() == reader.existing());

    auto changes = all;
    changes.listing = false;
    for (auto& it : changes.changes) {
        it.revision += key_count;
        it.deleted = it.revision % 2 == 0;
    }
    changes.revision += key_count;
    reader.add(changes);
    follow();
    CHECK(parts > 5);
    CHECK(follower.existing() == reader.existing());
}

// Guards against a change that is lost: the first instance leaves it out, as a newer one replaces
// it, and the second instance does not know the newer one yet.
TEST_CASE("an instance that knows less than the previous one does not continue its updates") {
    const store_update first{3, true, {{"a", "1", 1, false}, {"b", "1", 2, false}}};
    const store_update earlier{5, false, {{"a", "2", 4, false}, {"b", "2", 5, false}}, 3};
    const store_update later{6, false, {{"a", "3", 6, false}}, 5};
    store_change_log ahead;
    store_change_log behind;
    store_change_log follower;
    for (auto* it : {&ahead, &behind, &follower}) {
        it->add(first);
    }
    ahead.add(earlier);
    ahead.add(later);
    behind.add(earlier);
    follower.add(ahead.update_for(follower.position(), 1).value());
    CHECK(follower.revision() == 5);
    CHECK(follower.existing().find("a")->value == "1");
    CHECK_FALSE(behind.update_for(follower.position(), 1));
    follower.add(ahead.update_for(follower.position(), 1).value());
    CHECK(follower.existing().find("a")->value == "3");
}

TEST_CASE("a deletion is not undone by an older change that arrives again") {
    store_change_log log;
    log.add({3, true, {{"a", "1", 1, false}}});
    log.add({6, false, {{"a", "", 6, true}}, 3});
    log.add({7, false, {{"a", "2", 5, false}}, 4});
    CHECK(log.existing().empty());
}

}  // namespace
}  // namespace poplarfront::gateway
