#include <catch2/catch.hpp>

#include "fixture.h"

namespace poplarfront::routing {
namespace {

using namespace std::chrono_literals;

const std::vector<model::server_id> pair{server(0), server(1)};

int times_chosen(replica_stats& stats, const model::server_id& wanted, kernel::time_point now) {
    int count = 0;
    for (int it = 0; it < 100; ++it) {
        count += stats.choose(pair, now) == wanted ? 1 : 0;
    }
    return count;
}

void answer(replica_stats& stats, int number, kernel::duration latency, double load,
            kernel::time_point now) {
    for (int it = 0; it < 30; ++it) {
        stats.on_sent(server(number));
        stats.on_answered(server(number), latency, load, now);
    }
}

TEST_CASE("a straggler gets no primaries, and is tried again later") {
    replica_stats stats;
    const kernel::time_point now{1s};
    CHECK_FALSE(stats.choose({}, now));
    answer(stats, 0, 50ms, 0, now);
    answer(stats, 1, 5ms, 0, now);
    CHECK(times_chosen(stats, server(0), now) == 0);
    CHECK(times_chosen(stats, server(0), now + 60s) > 0);
    CHECK(stats.p95(server(0)) >= 50ms);
}

TEST_CASE("a cancelled attempt shows that a replica is slow") {
    replica_stats stats;
    const kernel::time_point now{1s};
    answer(stats, 0, 5ms, 0, now);
    answer(stats, 1, 5ms, 0, now);
    stats.on_sent(server(0));
    stats.on_cancelled(server(0), 40ms, now);
    CHECK(times_chosen(stats, server(0), now) == 0);
}

TEST_CASE("a false load report does not outweigh what the owner observed") {
    replica_stats stats;
    const kernel::time_point now{1s};
    answer(stats, 0, 20ms, 0.0, now);
    answer(stats, 1, 5ms, 0.9, now);
    CHECK(times_chosen(stats, server(1), now) == 100);
    replica_stats equal;
    answer(equal, 0, 5ms, 0.2, now);
    answer(equal, 1, 5ms, 0.9, now);
    CHECK(times_chosen(equal, server(0), now) == 100);
}

TEST_CASE("equal replicas share the load, and requests in flight count") {
    replica_stats stats;
    const kernel::time_point now{1s};
    CHECK(times_chosen(stats, server(0), now) == 50);
    stats.on_sent(server(0));
    CHECK(times_chosen(stats, server(0), now) == 0);
}

TEST_CASE("a failing replica is avoided although its failures are fast") {
    replica_stats stats;
    const kernel::time_point now{1s};
    answer(stats, 0, 5ms, 0, now);
    answer(stats, 1, 5ms, 0, now);
    stats.on_sent(server(0));
    stats.on_failed(server(0), now);
    CHECK(times_chosen(stats, server(0), now) == 0);
    CHECK(times_chosen(stats, server(0), now + 60s) > 0);
}

TEST_CASE("a drain notice expires, so that a returning backend server is used") {
    replica_stats stats;
    const kernel::time_point now{1s};
    stats.mark_draining(server(0), now);
    CHECK(stats.draining(server(0), now + 59s));
    CHECK_FALSE(stats.draining(server(0), now + 60s));
}

TEST_CASE("a late owner is the last choice until it answers, then the least busy one is first") {
    owner_stats stats;
    const kernel::time_point now{1s};
    const std::vector owners{instance(0), instance(1)};
    const std::vector reversed{instance(1), instance(0)};
    CHECK(stats.sorted_by_preference(owners, now) == owners);
    stats.on_sent(instance(0));
    CHECK(stats.sorted_by_preference(owners, now) == reversed);
    stats.on_overdue(instance(1), now);
    CHECK(stats.sorted_by_preference(owners, now) == owners);
    CHECK(stats.sorted_by_preference(owners, now + 1s) == reversed);
    stats.on_answered(instance(1), now);
    CHECK(stats.sorted_by_preference(owners, now) == reversed);
    stats.on_ended(instance(0));
    CHECK(stats.sorted_by_preference(owners, now) == owners);
}

TEST_CASE("two crashed backend servers put a query into quarantine, one does not") {
    crash_quarantine list;
    const kernel::time_point now{1s};
    list.on_crash_symptom(1, server(0), now);
    list.on_crash_symptom(1, server(0), now);
    CHECK_FALSE(list.quarantined(1, now));
    list.on_crash_symptom(2, server(1), now);
    list.on_crash_symptom(1, server(1), now);
    CHECK(list.quarantined(1, now));
    CHECK_FALSE(list.quarantined(2, now));
    CHECK_FALSE(list.quarantined(1, now + 10min));
}

TEST_CASE("gossip in a loop neither counts a crash twice nor prolongs an entry") {
    crash_quarantine left;
    crash_quarantine right;
    kernel::time_point now{1s};
    left.on_crash_symptom(1, server(0), now);
    for (int it = 0; it < 59; ++it) {
        now += 1s;
        for (const auto& announcement : left.announcements(now)) {
            right.merge(announcement, now);
        }
        for (const auto& announcement : right.announcements(now)) {
            left.merge(announcement, now);
        }
    }
    CHECK(right.crash_symptom_count(1, now) == 1);
    CHECK_FALSE(left.quarantined(1, now));
    CHECK(left.crash_symptom_count(1, now + 2s) == 0);
    right.on_crash_symptom(1, server(1), now);
    REQUIRE(right.take_changes(now).size() == 1);
    CHECK(right.take_changes(now).empty());
    left.merge(right.announcements(now).at(0), now);
    CHECK(left.quarantined(1, now));
}

TEST_CASE("only one shard at a time tests a query after a crash") {
    crash_quarantine list;
    const kernel::time_point now{1s};
    CHECK(list.try_start_trial(1, now, now + 1s));
    list.on_crash_symptom(1, server(0), now);
    CHECK(list.try_start_trial(1, now, now + 1s));
    CHECK_FALSE(list.try_start_trial(1, now, now + 1s));
    CHECK(list.try_start_trial(1, now + 1s, now + 2s));
    list.on_complete_reply(1);
    CHECK(list.known_good(1));
    CHECK(list.try_start_trial(1, now + 1s, now + 2s));
}

}  // namespace
}  // namespace poplarfront::routing
