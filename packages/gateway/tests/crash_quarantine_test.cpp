#include "gateway/crash_quarantine.h"

#include <catch2/catch.hpp>
#include <optional>

#include "fixture.h"
#include "gateway/crash_write_queue.h"

namespace poplarfront::gateway {
namespace {

using std::chrono::seconds;
using admission = crash_quarantine::admission;
using outcome = crash_quarantine::trial_outcome;

constexpr request_fingerprint fingerprint = 7;

crash_record crash(const std::string& process, const std::string& service_name = "s0") {
    return {fingerprint, service(service_name), process};
}

std::shared_ptr<const crash_table> table(std::set<crash_record> crashes,
                                         std::set<std::uint32_t> trials = {},
                                         std::uint64_t revision = 1) {
    crash_table made;
    made.requests[fingerprint] = {std::move(crashes), std::move(trials), revision};
    return std::make_shared<const crash_table>(std::move(made));
}

/// A quarantine and what it has published.
struct observed_quarantine {
    observed_quarantine() {
        crash_quarantine::publication publication;
        publication.change = [this](const auto& it) { changes.push_back(it); };
        publication.claim_trial = [this](const auto& it) { claims.push_back(it); };
        quarantine.set_publication(std::move(publication));
    }

    void quarantine_request(kernel::time_point now) {
        for (const auto* it : {"a", "b", "c"}) {
            quarantine.on_crash(crash(it), now);
        }
    }

    /// Claims the trial that is due and returns the decision of a later reply.
    void claim(kernel::time_point now, bool granted) {
        REQUIRE(quarantine.admit(fingerprint, now) == admission::trial_due);
        quarantine.claim_trial(fingerprint, [this](bool decided, kernel::time_point) {
            decisions.push_back(decided);
        });
        quarantine.on_trial_decision(claims.back(), granted, now);
    }

    crash_quarantine quarantine;
    std::vector<crash_table_change> changes;
    std::vector<crash_trial> claims;
    std::vector<bool> decisions;
};

TEST_CASE("crashes of other instances count together with those observed here") {
    observed_quarantine it;
    it.quarantine.on_crash(crash("a"), start_time);
    it.quarantine.on_table(table({crash("b")}), start_time);
    CHECK(it.quarantine.admit(fingerprint, start_time) == admission::allowed);
    it.quarantine.on_table(table({crash("b"), crash("c")}), start_time);
    CHECK(it.quarantine.admit(fingerprint, start_time) == admission::refused);
    CHECK(it.changes == std::vector<crash_table_change>{{{crash("a")}, {}, {}}});
}

TEST_CASE("one crash that several connections show counts once") {
    observed_quarantine it;
    for (int n = 0; n < 3; ++n) {
        it.quarantine.on_crash(crash("a"), start_time);
    }
    CHECK_FALSE(it.quarantine.quarantined(fingerprint));
    CHECK(it.changes.size() == 1);
}

TEST_CASE("a reply disproves the crashes of its service, here and in the common records") {
    observed_quarantine it;
    it.quarantine.on_table(table({crash("a"), crash("b")}), start_time);
    it.quarantine.on_crash(crash("c"), start_time);
    it.quarantine.on_crash(crash("d", "s1"), start_time);
    it.quarantine.on_executed(fingerprint, service("s0"), start_time);
    CHECK_FALSE(it.quarantine.quarantined(fingerprint));
    CHECK(it.quarantine.suspected_at(fingerprint, service("s1")));
    CHECK_FALSE(it.quarantine.suspected_at(fingerprint, service("s0")));
    CHECK(it.changes.back().removed == std::set{crash("a"), crash("b"), crash("c")});
    // The next table may be from before the removal.
    it.quarantine.on_table(table({crash("a"), crash("b")}, {}, 2), start_time);
    CHECK_FALSE(it.quarantine.suspected_at(fingerprint, service("s0")));
}

TEST_CASE("a crash that another instance has disproved does not count any more") {
    observed_quarantine it;
    it.quarantine_request(start_time);
    it.quarantine.on_table(table({crash("a"), crash("b"), crash("c")}), start_time);
    CHECK(it.quarantine.quarantined(fingerprint));
    it.quarantine.on_table(std::make_shared<const crash_table>(), start_time);
    CHECK_FALSE(it.quarantine.suspected(fingerprint));
}

TEST_CASE("a granted trial that succeeds releases the request") {
    observed_quarantine it;
    it.quarantine_request(start_time);
    CHECK(it.quarantine.admit(fingerprint, start_time + milliseconds{999}) == admission::refused);
    it.claim(start_time + seconds{1}, true);
    CHECK(it.decisions == std::vector{true});
    CHECK(it.quarantine.admit(fingerprint, start_time + seconds{2}) == admission::refused);
    it.quarantine.on_trial_ended(fingerprint, outcome::survived, start_time + seconds{2});
    CHECK(it.quarantine.admit(fingerprint, start_time + seconds{2}) == admission::allowed);
    CHECK(it.changes.back().removed.size() == 3);
    CHECK(it.changes.back().removed_trials == std::set{crash_trial{fingerprint, 1}});
}

TEST_CASE("after three trials of all instances a request stays quarantined") {
    observed_quarantine it;
    it.quarantine.on_table(table({crash("a"), crash("b"), crash("c")}, {1}), start_time);
    CHECK(it.quarantine.admit(fingerprint, start_time + seconds{9}) == admission::refused);
    CHECK(it.quarantine.admit(fingerprint, start_time + seconds{10}) == admission::trial_due);
    it.quarantine.on_table(table({crash("a"), crash("b"), crash("c")}, {1, 2}), start_time);
    CHECK(it.quarantine.admit(fingerprint, start_time + seconds{119}) == admission::refused);
    CHECK(it.quarantine.admit(fingerprint, start_time + seconds{120}) == admission::trial_due);
    it.quarantine.on_table(table({crash("a"), crash("b"), crash("c")}, {1, 2, 3}), start_time);
    CHECK(it.quarantine.admit(fingerprint, start_time + seconds{600}) == admission::refused);
}

TEST_CASE("a trial that was not run is returned, and one that nobody waits for is not run") {
    observed_quarantine it;
    it.quarantine_request(start_time);
    it.claim(start_time + seconds{2}, true);
    it.quarantine.on_trial_ended(fingerprint, outcome::not_run, start_time + seconds{2});
    CHECK(it.changes.back().removed_trials == std::set{crash_trial{fingerprint, 1}});
    CHECK(it.quarantine.admit(fingerprint, start_time + seconds{2}) == admission::refused);
    REQUIRE(it.quarantine.admit(fingerprint, start_time + seconds{3}) == admission::trial_due);
    it.changes.clear();
    it.quarantine.claim_trial(fingerprint, [](bool, kernel::time_point) { FAIL("abandoned"); });
    it.quarantine.abandon_trial(fingerprint);
    it.quarantine.on_trial_decision(it.claims.back(), true, start_time + seconds{4});
    CHECK(it.changes.back().removed_trials == std::set{crash_trial{fingerprint, 1}});
}

TEST_CASE("the records of a request that still arrives are written again before they expire") {
    observed_quarantine it;
    const std::set crashes{crash("a"), crash("b"), crash("c")};
    it.quarantine.on_table(table(crashes, {1, 2, 3}), start_time);
    CHECK(it.quarantine.admit(fingerprint, start_time + seconds{239}) == admission::refused);
    CHECK(it.changes.empty());
    it.quarantine.admit(fingerprint, start_time + seconds{240});
    it.quarantine.admit(fingerprint, start_time + seconds{241});
    REQUIRE(it.changes.size() == 1);
    CHECK(it.changes.back().added == crashes);
}

// Guards against crashes that are counted when only connections were reset.
TEST_CASE("a process that replies to another request has not crashed") {
    observed_quarantine it;
    const auto server = backend("a", "s0");
    it.quarantine.on_crash(crash_record_of(fingerprint, *server), start_time);
    it.quarantine.on_reply(*backend("b", "s0"), start_time + milliseconds{100});
    CHECK(it.quarantine.suspected(fingerprint));
    // This reply may have been sent before the crash.
    it.quarantine.on_reply(*server, start_time + milliseconds{19});
    CHECK(it.quarantine.suspected(fingerprint));
    it.quarantine.on_reply(*server, start_time + milliseconds{20});
    CHECK_FALSE(it.quarantine.suspected(fingerprint));
    CHECK(it.changes.back().removed == std::set{crash_record_of(fingerprint, *server)});
    // This reply may be of a process that has started again.
    it.quarantine.on_crash(crash_record_of(fingerprint, *server), start_time);
    it.quarantine.on_reply(*server, start_time + milliseconds{701});
    CHECK(it.quarantine.suspected(fingerprint));
}

// Guards against store calls for crashes that a retry disproves.
TEST_CASE("a crash that is disproved within the hold time is never written") {
    crash_write_queue queue;
    queue.add({{crash("a")}, {}, {}}, {}, start_time);
    CHECK(queue.take(start_time + milliseconds{699}) == crash_table_change{});
    queue.add({{}, {crash("a")}, {}}, {}, start_time + milliseconds{699});
    CHECK_FALSE(queue.next_due());
    queue.add({{}, {crash("b")}, {}}, *table({crash("b")}), start_time);
    CHECK(queue.take(start_time) == crash_table_change{{}, {crash("b")}, {}});
}

TEST_CASE("a failed write is repeated unless a later change revokes it") {
    crash_write_queue queue;
    queue.add({{crash("a"), crash("b")}, {}, {}}, {}, start_time);
    const auto now = start_time + seconds{1};
    const auto taken = queue.take(now);
    REQUIRE(taken.added.size() == 2);
    queue.add({{}, {crash("a")}, {}}, {}, now);
    queue.put_back(taken, now);
    CHECK(queue.take(now) == crash_table_change{{crash("b")}, {crash("a")}, {}});
}

// Guards against a full table that takes no new crashes.
TEST_CASE("a full table evicts the request with the fewest and oldest crashes") {
    crash_table stored;
    stored.requests[1] = {{{1, service("s0"), "a"}, {1, service("s0"), "b"}}, {}, 3};
    stored.requests[2] = {{{2, service("s0"), "a"}}, {}, 5};
    stored.requests[3] = {{{3, service("s0"), "a"}}, {}, 4};
    CHECK(records_to_evict(stored, 3) == stored.requests[3].crashes);
    CHECK(records_to_evict(stored, 4).empty());
    CHECK(records_to_evict({}, 0).empty());
}

// Trial of a quarantined request in a session

/// A state in which the gather of all shards is quarantined and its trial is due.
struct quarantined_gather {
    quarantined_gather() {
        crash_quarantine::publication publication;
        publication.claim_trial = [this](const auto& it) { claim = it; };
        state.quarantine().set_publication(std::move(publication));
        for (const auto* it : {"a", "b", "c"}) {
            state.quarantine().on_crash({request().fingerprint, service("s1"), it},
                                        start_time - seconds{5});
        }
        running.start(start_time);
        REQUIRE(claim);
        REQUIRE(transport.sent.empty());
    }

    void decide(bool granted) {
        state.quarantine().on_trial_decision(*claim, granted, start_time + milliseconds{10});
    }

    fleet servers{4};
    traffic_state state{test_options(), 1};
    fake_transport transport;
    std::optional<crash_trial> claim;
    session running{state, transport, servers.published(), servers.gather, request()};
};

TEST_CASE("the trial of a gather asks one shard first, and all others after its reply") {
    quarantined_gather it;
    it.decide(true);
    REQUIRE(it.transport.sent.size() == 1);
    CHECK(it.transport.sent.front().service == "s1");
    it.running.on_result(0, success("part"), start_time + milliseconds{20});
    REQUIRE(it.transport.sent.size() == 4);
    for (attempt_number n = 1; n < 4; ++n) {
        it.running.on_result(n, success("part" + std::to_string(n)), start_time + milliseconds{30});
    }
    REQUIRE(it.transport.answers.size() == 1);
    CHECK(it.transport.answers.front().kind == answer_kind::gathered);
    CHECK(it.transport.answers.front().missing == 0);
    CHECK_FALSE(it.state.quarantine().suspected(request().fingerprint));
}

// Guards against trials that fail because of a backend server that is down for another reason,
// after which a harmless request stayed refused (fault soak, seed 2010).
TEST_CASE("a trial is not run at a backend server whose connection was just lost") {
    quarantined_gather it;
    const auto lose = [&](const std::string& id) {
        it.state.replicas().on_sent(model::server_id::trusted(id));
        it.state.replicas().on_lost(model::server_id::trusted(id), start_time);
    };
    lose("s1-0");
    SECTION("another one is used") {
        it.decide(true);
        REQUIRE(it.transport.sent.size() == 1);
        CHECK(it.transport.sent.front().server == "s1-1");
    }
    SECTION("there is no other one") {
        lose("s1-1");
        it.decide(true);
        CHECK(it.transport.sent.empty());
        REQUIRE(it.transport.answers.size() == 1);
        CHECK(it.transport.answers.front().kind == answer_kind::not_run);
        CHECK(it.state.quarantine().admit(request().fingerprint, start_time + seconds{2}) ==
              admission::trial_due);
    }
}

TEST_CASE("the trial of a request that still crashes costs one backend server") {
    quarantined_gather it;
    it.decide(true);
    it.running.on_result(0, ended(attempt_end::lost), start_time + milliseconds{20});
    CHECK(it.transport.sent.size() == 1);
    REQUIRE(it.transport.answers.size() == 1);
    CHECK(it.transport.answers.front().kind == answer_kind::failed);
    CHECK(it.state.quarantine().quarantined(request().fingerprint));
}

TEST_CASE("a request whose trial is not granted in time is refused") {
    quarantined_gather it;
    SECTION("another instance runs it") {
        it.decide(false);
    }
    SECTION("there is no decision") {
        it.running.on_timer(start_time + milliseconds{149});
        CHECK(it.transport.answers.empty());
        it.running.on_timer(start_time + milliseconds{150});
    }
    SECTION("the backend server cannot be reached") {
        it.decide(true);
        it.running.on_result(0, ended(attempt_end::not_sent), start_time + milliseconds{20});
    }
    REQUIRE(it.transport.answers.size() == 1);
    CHECK(it.transport.answers.front().kind == answer_kind::not_run);
    CHECK(it.state.quarantine().quarantined(request().fingerprint));
}

// Guards against a gather that loses its parts because several backend servers died for another
// reason, and against one that crashes both replicas of each shard.
TEST_CASE("after several lost parts one is retried, and its result decides on the others") {
    const fleet servers{4};
    running_session it{servers, servers.gather};
    for (std::size_t n = 0; n < 4; ++n) {
        it.deliver_result(n, ended(attempt_end::lost), milliseconds{5});
    }
    // The first two losses were retried before the third.
    REQUIRE(it.transport.sent.size() == 7);
    SECTION("it replies") {
        it.deliver_result(6, success("part2"), milliseconds{10});
        REQUIRE(it.transport.sent.size() == 8);
        CHECK(it.transport.sent[7].service == it.transport.sent[3].service);
    }
    SECTION("its connection is lost too") {
        it.deliver_result(6, ended(attempt_end::lost), milliseconds{10});
        CHECK(it.transport.sent.size() == 7);
        REQUIRE(it.transport.answers.size() == 1);
        CHECK(it.transport.answers.front().kind == answer_kind::failed);
        CHECK(it.state.quarantine().quarantined(request().fingerprint));
    }
    SECTION("its backend server cannot be reached") {
        it.deliver_result(6, ended(attempt_end::not_sent), milliseconds{10});
        REQUIRE(it.transport.answers.size() == 1);
        CHECK(it.transport.answers.front().kind == answer_kind::failed);
    }
}

}  // namespace
}  // namespace poplarfront::gateway
