#include <catch2/catch.hpp>

#include "fixture.h"

namespace poplarfront::routing {
namespace {

using namespace std::chrono_literals;

const std::vector<model::server_id> two_servers{server(0), server(1)};

int count_chosen(replica_stats& stats, const model::server_id& wanted, kernel::time_point now) {
    int count = 0;
    for (int it = 0; it < 100; ++it) {
        count += stats.choose(two_servers, now) == wanted ? 1 : 0;
    }
    return count;
}

void record_answers(replica_stats& stats, int server_number, kernel::duration latency, double load,
                    kernel::time_point now) {
    for (int it = 0; it < 30; ++it) {
        stats.on_sent(server(server_number));
        stats.on_answered(server(server_number), latency, load, now);
    }
}

TEST_CASE("a slow replica is not chosen, and is tried again later") {
    replica_stats stats;
    const kernel::time_point now{1s};
    CHECK_FALSE(stats.choose({}, now));
    record_answers(stats, 0, 50ms, 0, now);
    record_answers(stats, 1, 5ms, 0, now);
    CHECK(count_chosen(stats, server(0), now) == 0);
    CHECK(count_chosen(stats, server(0), now + 60s) > 0);
    CHECK(stats.p95(server(0)) >= 50ms);
}

TEST_CASE("a cancelled attempt raises the latency estimate of its replica") {
    replica_stats stats;
    const kernel::time_point now{1s};
    record_answers(stats, 0, 5ms, 0, now);
    record_answers(stats, 1, 5ms, 0, now);
    stats.on_sent(server(0));
    stats.on_cancelled(server(0), 40ms, now);
    CHECK(count_chosen(stats, server(0), now) == 0);
}

TEST_CASE("a false load report does not outweigh the observed latency") {
    replica_stats stats;
    const kernel::time_point now{1s};
    record_answers(stats, 0, 20ms, 0.0, now);
    record_answers(stats, 1, 5ms, 0.9, now);
    CHECK(count_chosen(stats, server(1), now) == 100);
    replica_stats equal;
    record_answers(equal, 0, 5ms, 0.2, now);
    record_answers(equal, 1, 5ms, 0.9, now);
    CHECK(count_chosen(equal, server(0), now) == 100);
}

TEST_CASE("equal replicas are chosen in turn, and requests in flight raise the cost") {
    replica_stats stats;
    const kernel::time_point now{1s};
    CHECK(count_chosen(stats, server(0), now) == 50);
    stats.on_sent(server(0));
    CHECK(count_chosen(stats, server(0), now) == 0);
}

TEST_CASE("a failing replica is avoided although its failures are fast") {
    replica_stats stats;
    const kernel::time_point now{1s};
    record_answers(stats, 0, 5ms, 0, now);
    record_answers(stats, 1, 5ms, 0, now);
    stats.on_sent(server(0));
    stats.on_failed(server(0), now);
    CHECK(count_chosen(stats, server(0), now) == 0);
    CHECK(count_chosen(stats, server(0), now + 60s) > 0);
}

TEST_CASE("a drain notice expires, so that a backend server that returns is used") {
    replica_stats stats;
    const kernel::time_point now{1s};
    stats.mark_draining(server(0), now);
    CHECK(stats.draining(server(0), now + 59s));
    CHECK_FALSE(stats.draining(server(0), now + 60s));
}

TEST_CASE("an overdue owner is last until it answers; others are sorted by outstanding batches") {
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

TEST_CASE("a query is quarantined after crashes of two backend servers, not of one") {
    crash_quarantine quarantine;
    const kernel::time_point now{1s};
    quarantine.on_crash_symptom(1, server(0), now);
    quarantine.on_crash_symptom(1, server(0), now);
    CHECK_FALSE(quarantine.quarantined(1, now));
    quarantine.on_crash_symptom(2, server(1), now);
    quarantine.on_crash_symptom(1, server(1), now);
    CHECK(quarantine.quarantined(1, now));
    CHECK_FALSE(quarantine.quarantined(2, now));
    CHECK_FALSE(quarantine.quarantined(1, now + 10min));
}

TEST_CASE(
    "gossip that returns to its sender neither counts a crash twice nor extends a live entry") {
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

TEST_CASE("only one trial of a query runs at a time after a crash symptom") {
    crash_quarantine quarantine;
    const kernel::time_point now{1s};
    CHECK(quarantine.try_start_trial(1, now, now + 1s));
    quarantine.on_crash_symptom(1, server(0), now);
    CHECK(quarantine.try_start_trial(1, now, now + 1s));
    CHECK_FALSE(quarantine.try_start_trial(1, now, now + 1s));
    CHECK(quarantine.try_start_trial(1, now + 1s, now + 2s));
    quarantine.on_successful_reply(1);
    CHECK(quarantine.known_good(1));
    CHECK(quarantine.try_start_trial(1, now + 1s, now + 2s));
}

}  // namespace
}  // namespace poplarfront::routing
