#include "gateway/gather_delegation.h"

#include <catch2/catch.hpp>

#include "fixture.h"

namespace poplarfront::gateway {
namespace {

using gather_status = gather_report::gather_status;

/// Records the calls of a gather_delegation.
class fake_delegation_transport {
public:
    void send_gather(const registered_instance& delegate, session_limits limits) {
        sent_to.push_back(delegate.name);
        last_limits = limits;
    }
    void confirm(const registered_instance& delegate) { confirmed.push_back(delegate.name); }
    void cancel(const registered_instance& delegate, bool reports_missed) {
        cancelled.push_back(delegate.name + (reports_missed ? ": reports missed" : ""));
    }
    void gather_locally(std::uint32_t max_attempts) { local_attempts = max_attempts; }
    void answer(gateway_answer given) { answers.push_back(std::move(given)); }

    std::vector<std::string> sent_to;
    std::vector<std::string> confirmed;
    std::vector<std::string> cancelled;
    session_limits last_limits;
    std::optional<std::uint32_t> local_attempts;
    std::vector<gateway_answer> answers;
};

/// A delegated gather with an objective of 100 ms, and one delegate per data centre given.
struct running_delegation {
    explicit running_delegation(std::vector<std::string> data_centres = {"near", "near", "near"})
        : state(test_options(), 1) {
        fleet test_fleet{4, 3};
        for (std::size_t it = 0; it < data_centres.size(); ++it) {
            test_fleet.view.delegates.push_back(
                {"g" + std::to_string(it), "10.0.0.1:1", data_centres[it], 0.5});
        }
        gather_route = test_fleet.gather;
        view = test_fleet.published();
        delegation.emplace(state, transport, view, gather_route, request());
        delegation->start(start_time);
    }

    void report(gather_status status, milliseconds elapsed, milliseconds next = milliseconds{0}) {
        gather_report report;
        report.status = status;
        report.next_report = next;
        report.answer.kind = answer_kind::gathered;
        delegation->on_report(report, start_time + elapsed);
    }

    /// Runs the timer that is due up to `elapsed` after the start, if there is one.
    void run_timer(milliseconds elapsed) {
        if (delegation->next_timer() && *delegation->next_timer() <= start_time + elapsed) {
            delegation->on_timer(*delegation->next_timer());
        }
    }

    traffic_state state;
    fake_delegation_transport transport;
    route gather_route;
    std::shared_ptr<const fleet_view> view;
    std::optional<gather_delegation<fake_delegation_transport>> delegation;
};

TEST_CASE("the delegate's answer is forwarded, and the gather is confirmed once") {
    running_delegation run;
    REQUIRE(run.transport.sent_to.size() == 1);
    CHECK(run.transport.last_limits.max_attempts == 2);
    run.report(gather_status::in_progress, milliseconds{2}, milliseconds{80});
    run.report(gather_status::in_progress, milliseconds{85}, milliseconds{500});
    CHECK(run.transport.confirmed == run.transport.sent_to);
    run.report(gather_status::answered, milliseconds{90});
    REQUIRE(run.transport.answers.size() == 1);
    CHECK(run.transport.answers.front().kind == answer_kind::gathered);
    CHECK_FALSE(run.delegation->next_timer());
}

TEST_CASE("after a refusal a second delegate is tried with all attempts") {
    running_delegation run;
    run.report(gather_status::refused, milliseconds{1});
    REQUIRE(run.transport.sent_to.size() == 2);
    CHECK(run.transport.sent_to[0] != run.transport.sent_to[1]);
    CHECK(run.transport.last_limits.max_attempts == 2);
    run.report(gather_status::refused, milliseconds{2});
    CHECK(run.transport.local_attempts == 2);
}

TEST_CASE("a delegate without a report is replaced early, and its possible attempt is counted") {
    running_delegation run;
    run.run_timer(milliseconds{30});
    CHECK(run.transport.cancelled ==
          std::vector<std::string>{run.transport.sent_to[0] + ": reports missed"});
    REQUIRE(run.transport.sent_to.size() == 2);
    CHECK(run.transport.last_limits.max_attempts == 1);
    run.report(gather_status::in_progress, milliseconds{30}, milliseconds{50});
    run.report(gather_status::answered, milliseconds{80});
    CHECK(run.transport.answers.size() == 1);
}

TEST_CASE("a gather fails after two delegates without a report, as all attempts may be used") {
    running_delegation run;
    run.run_timer(milliseconds{30});
    run.run_timer(milliseconds{60});
    CHECK_FALSE(run.transport.local_attempts);
    REQUIRE(run.transport.answers.size() == 1);
    CHECK(run.transport.answers.front().kind == answer_kind::failed);
}

TEST_CASE("a request fails before its time-out if its confirmed delegate stops reporting") {
    running_delegation run;
    run.report(gather_status::in_progress, milliseconds{1}, milliseconds{80});
    run.run_timer(milliseconds{150});
    CHECK(run.transport.answers.empty());
    run.run_timer(milliseconds{200});
    REQUIRE(run.transport.answers.size() == 1);
    CHECK(run.transport.answers.front().kind == answer_kind::failed);
    CHECK_FALSE(run.transport.local_attempts);
}

TEST_CASE("a delayed timer waits once more for a report that may be unread") {
    running_delegation run;
    const auto late = *run.delegation->next_timer() + milliseconds{40};
    run.delegation->on_timer(late);
    CHECK(run.transport.cancelled.empty());
    REQUIRE(run.delegation->next_timer());
    CHECK(*run.delegation->next_timer() > late);
    run.delegation->on_timer(*run.delegation->next_timer() + milliseconds{40});
    CHECK(run.transport.cancelled.size() == 1);
}

TEST_CASE("a client's disconnection cancels the gather, and late reports are ignored") {
    running_delegation run;
    run.report(gather_status::in_progress, milliseconds{1}, milliseconds{80});
    run.delegation->on_client_disconnected(start_time + milliseconds{10});
    CHECK(run.transport.cancelled == run.transport.sent_to);
    run.report(gather_status::answered, milliseconds{20});
    CHECK(run.transport.answers.empty());
    CHECK_FALSE(run.delegation->next_timer());
}

TEST_CASE("a delegate in the data centre of the shards is preferred, a failed one is avoided") {
    running_delegation run{{"far", "near", "far"}};
    CHECK(run.transport.sent_to.front() == "g1");
    run.run_timer(milliseconds{30});
    // The next request on this instance.
    gather_delegation<fake_delegation_transport> next{run.state, run.transport, run.view,
                                                      run.gather_route, request()};
    next.start(start_time + milliseconds{100});
    CHECK(run.transport.sent_to.back() != "g1");
}

TEST_CASE("without delegates the gather runs on this instance with all attempts") {
    running_delegation run{{}};
    CHECK(run.transport.sent_to.empty());
    CHECK(run.transport.local_attempts == 2);
}

}  // namespace
}  // namespace poplarfront::gateway
