#include "at_most_once/claim_table.h"

#include <catch2/catch.hpp>

#include "kernel/clock_and_random_sources.h"
#include "wire/claims_codec.h"

namespace poplarfront::at_most_once {
namespace {

using std::chrono::hours;
using std::chrono::milliseconds;

constexpr wall_time now_wall = hours{500'000};

/// A store whose calls are answered by the test.
struct held_store {
    struct written {
        store::call_id call;
        std::uint64_t version;
        std::string bytes;
    };
    void read(store::call_id call, const std::string&) { reads.push_back(call); }
    void compare_and_swap(store::call_id call, const std::string&, std::uint64_t version,
                          const std::string& bytes) {
        writes.push_back({call, version, bytes});
    }
    std::vector<store::call_id> reads;
    std::vector<written> writes;
};

class fixture {
public:
    using table = claim_table<kernel::manual_clock, kernel::seeded_random_source, held_store,
                              wire::claims_codec>;

    explicit fixture(claim_policy policy = one_bucket()) : claims(clock, random, store, policy) {}

    static claim_policy one_bucket() {
        claim_policy policy;
        policy.buckets = 1;
        return policy;
    }

    claim_ticket claim(std::uint64_t key, wall_time issued = now_wall) {
        return claims.claim({{1, key, key}, issued, clock.now() + milliseconds{500}}, now_wall);
    }

    void wait(milliseconds time = milliseconds{2}) {
        clock.advance(time);
        claims.on_timer();
    }

    void answer_read() {
        REQUIRE_FALSE(store.reads.empty());
        const auto call = store.reads.back();
        store.reads.pop_back();
        claims.on_read(call, {store::store_status::ok, value});
    }

    /// Applies the latest write as the store does.
    store::write_outcome apply_write() {
        REQUIRE_FALSE(store.writes.empty());
        const auto& write = store.writes.back();
        if (write.version != value.version) {
            return {store::store_status::conflict, value.version};
        }
        value = {write.bytes, value.version + 1};
        return {store::store_status::ok, value.version};
    }

    void answer_write(std::optional<store::write_outcome> outcome = std::nullopt) {
        const auto given = outcome ? *outcome : apply_write();
        const auto call = store.writes.back().call;
        store.writes.pop_back();
        claims.on_write(call, given);
    }

    /// Another instance changes the bucket.
    void put(std::uint64_t key, const claim_record& record) {
        auto bucket = records();
        value = {wire::claims_codec::encode(bucket.with({{{1, key, key}, record}}, wall_time{0})),
                 value.version + 1};
    }

    [[nodiscard]] claim_bucket records() const {
        return wire::claims_codec::decode(value.bytes).value();
    }

    claim_event only_event() {
        auto events = claims.take_events();
        REQUIRE(events.size() == 1);
        return events.front();
    }

    held_claim hold(std::uint64_t key) {
        claim(key);
        wait();
        if (!store.reads.empty()) {
            answer_read();
        }
        answer_write();
        const auto event = only_event();
        REQUIRE(event.status == claim_status::held);
        return event.claim;
    }

    kernel::manual_clock clock;
    kernel::seeded_random_source random{7};
    held_store store;
    store::store_value value;
    table claims;
};

const store::write_outcome lost{store::store_status::unknown, 0};
const store::write_outcome refused{store::store_status::unavailable, 0};

TEST_CASE("claims that arrive within the batch window share one write") {
    fixture f;
    f.claim(1);
    f.clock.advance(milliseconds{1});
    f.claim(2);
    CHECK(f.store.reads.empty());
    f.wait(milliseconds{1});
    f.answer_read();
    CHECK(f.claims.take_events().empty());
    f.answer_write();
    const auto events = f.claims.take_events();
    REQUIRE(events.size() == 2);
    CHECK(events[0].status == claim_status::held);
    CHECK(events[1].status == claim_status::held);
    CHECK(f.claims.count().writes == 1);
    CHECK(f.records().records.size() == 2);
    // The next write needs no read, since the value is known.
    f.claim(3);
    f.wait();
    CHECK(f.store.reads.empty());
    CHECK(f.store.writes.size() == 1);
}

TEST_CASE("a refused claim whose write is still under way cannot take effect later") {
    fixture f;
    f.claim(1);
    f.wait();
    f.answer_read();
    const auto late = f.store.writes.back();
    f.answer_write(lost);
    f.claims.on_read(f.store.reads.back(), {store::store_status::unavailable, {}});
    f.store.reads.clear();
    CHECK(f.only_event().status == claim_status::refused);
    f.wait(milliseconds{100});
    f.answer_read();
    f.answer_write();
    CHECK(f.records().find({1, 1, 1})->state == claim_state::released);
    CHECK(late.version != f.value.version);
    CHECK(f.claims.pending_changes() == 0);
}

TEST_CASE("during an outage claims are refused at once and ends of claims are kept") {
    fixture f;
    const auto held = f.hold(1);
    f.claims.complete(held, "reply");
    f.claim(2);
    f.wait();
    f.answer_write(refused);
    CHECK(f.only_event().reason == "store_unavailable");
    f.wait(milliseconds{20});
    f.answer_read();
    f.answer_write();
    CHECK(f.only_event().status == claim_status::recorded);
    CHECK(f.records().find({1, 1, 1})->reply == "reply");
    CHECK(f.records().find({1, 2, 2}) == nullptr);
}

TEST_CASE("a claim seen in an old value is read again; a released one gets a new nonce") {
    fixture f;
    f.hold(1);
    f.put(1, {99, claim_state::completed, now_wall, "reply"});
    f.put(2, {98, claim_state::released, now_wall});
    f.claim(1);
    f.wait();
    f.answer_read();
    const auto event = f.only_event();
    CHECK(event.status == claim_status::already_completed);
    CHECK(event.reply == "reply");
    CHECK(f.hold(2).nonce != 98);
}

TEST_CASE("a claim that its caller abandoned is released at every stage") {
    fixture f;
    const auto waiting = f.claim(1);
    f.claims.abandon(waiting);
    f.wait();
    f.answer_read();
    CHECK(f.store.writes.empty());
    const auto writing = f.claim(1);
    f.wait();
    f.claims.abandon(writing);
    f.answer_write();
    f.wait();
    f.answer_write();
    CHECK(f.records().find({1, 1, 1})->state == claim_state::released);
    const auto held = f.claim(2);
    f.wait();
    f.answer_write();
    f.claims.abandon(held);
    f.wait();
    f.answer_write();
    CHECK(f.records().find({1, 2, 2})->state == claim_state::released);
}

TEST_CASE("a full bucket refuses claims but still takes the ends of claims") {
    auto policy = fixture::one_bucket();
    policy.max_bucket_bytes = 3 * record_overhead_bytes;
    policy.max_reply_bytes = 8;
    fixture f{policy};
    const auto held = f.hold(1);
    f.hold(2);
    f.claim(3);
    f.wait();
    CHECK(f.only_event().reason == "claims_full");
    f.claims.complete(held, "longer than kept");
    f.wait();
    f.answer_write();
    f.claims.take_events();
    f.claim(1);
    f.wait();
    const auto event = f.only_event();
    CHECK(event.status == claim_status::already_completed);
    CHECK(event.reason == "reply_not_kept");
}

TEST_CASE("a value that cannot be decoded is never overwritten") {
    fixture f;
    f.value = {"damaged", 5};
    f.claim(1);
    f.wait();
    f.answer_read();
    CHECK(f.only_event().reason == "claims_unreadable");
    CHECK(f.store.writes.empty());
}

}  // namespace
}  // namespace poplarfront::at_most_once
