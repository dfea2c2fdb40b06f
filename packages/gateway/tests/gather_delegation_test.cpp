#include "gateway/gather_delegation.h"

#include <catch2/catch.hpp>

#include "fixture.h"

namespace poplarfront::gateway {
namespace {

using gather_status = gather_report::gather_status;

/// Records what a handover asks for.
class fake_orders {
public:
    void send_gather(const registered_instance& delegate, session_limits limits) {
        ordered.push_back(delegate.name);
        last_terms = limits;
    }
    void confirm(const registered_instance& delegate) { confirmed.push_back(delegate.name); }
    void cancel(const registered_instance& delegate, bool reports_missed) {
        withdrawn.push_back(delegate.name + (reports_missed ? " unheard" : ""));
    }
    void gather_locally(std::uint32_t max_attempts) { attempts_here = max_attempts; }
    void answer(gateway_answer given) { answers.push_back(std::move(given)); }

    std::vector<std::string> ordered;
    std::vector<std::string> confirmed;
    std::vector<std::string> withdrawn;
    session_limits last_terms;
    std::optional<std::uint32_t> attempts_here;
    std::vector<gateway_answer> answers;
};

/// A handover of a gather with an objective of 100 ms, and three delegates.
struct running_handover {
    explicit running_handover(std::vector<std::string> centres = {"near", "near", "near"})
        : state(test_options(), 1) {
        fleet made{4, 3};
        for (std::size_t it = 0; it < centres.size(); ++it) {
            made.view.delegates.push_back(
                {"g" + std::to_string(it), "10.0.0.1:1", centres[it], 0.5});
        }
        wanted = made.gather;
        view = made.published();
        handover.emplace(state, orders, view, wanted, request());
        handover->start(start_time);
    }

    void report(gather_status what, milliseconds after, milliseconds next = milliseconds{0}) {
        gather_report report;
        report.status = what;
        report.next_report = next;
        report.answer.kind = answer_kind::gathered;
        handover->on_report(report, start_time + after);
    }

    /// Runs the timer that is due up to `after` the start, if there is one.
    void run_timer(milliseconds after) {
        if (handover->next_timer() && *handover->next_timer() <= start_time + after) {
            handover->on_timer(*handover->next_timer());
        }
    }

    traffic_state state;
    fake_orders orders;
    route wanted;
    std::shared_ptr<const fleet_view> view;
    std::optional<gather_delegation<fake_orders>> handover;
};

TEST_CASE("a gatherer's answer is the answer, and its order was confirmed once") {
    running_handover run;
    REQUIRE(run.orders.ordered.size() == 1);
    CHECK(run.orders.last_terms.max_attempts == 2);
    run.report(gather_status::in_progress, milliseconds{2}, milliseconds{80});
    run.report(gather_status::in_progress, milliseconds{85}, milliseconds{500});
    CHECK(run.orders.confirmed == run.orders.ordered);
    run.report(gather_status::answered, milliseconds{90});
    REQUIRE(run.orders.answers.size() == 1);
    CHECK(run.orders.answers.front().kind == answer_kind::gathered);
    CHECK_FALSE(run.handover->next_timer());
}

TEST_CASE("a gatherer that refuses costs no attempts, and another one is asked") {
    running_handover run;
    run.report(gather_status::refused, milliseconds{1});
    REQUIRE(run.orders.ordered.size() == 2);
    CHECK(run.orders.ordered[0] != run.orders.ordered[1]);
    CHECK(run.orders.last_terms.max_attempts == 2);
    run.report(gather_status::refused, milliseconds{2});
    CHECK(run.orders.attempts_here == 2);
}

TEST_CASE("a dead gatherer is left soon, and what it may have sent counts as an attempt") {
    running_handover run;
    run.run_timer(milliseconds{30});
    CHECK(run.orders.withdrawn == std::vector<std::string>{run.orders.ordered[0] + " unheard"});
    REQUIRE(run.orders.ordered.size() == 2);
    CHECK(run.orders.last_terms.max_attempts == 1);
    run.report(gather_status::in_progress, milliseconds{30}, milliseconds{50});
    run.report(gather_status::answered, milliseconds{80});
    CHECK(run.orders.answers.size() == 1);
}

TEST_CASE("when both gatherers are silent, a third instance would exceed the attempts") {
    running_handover run;
    run.run_timer(milliseconds{30});
    run.run_timer(milliseconds{60});
    CHECK_FALSE(run.orders.attempts_here);
    REQUIRE(run.orders.answers.size() == 1);
    CHECK(run.orders.answers.front().kind == answer_kind::failed);
}

TEST_CASE(
    "a gatherer that dies after its order was confirmed ends the request, not its client's "
    "patience") {
    running_handover run;
    run.report(gather_status::in_progress, milliseconds{1}, milliseconds{80});
    run.run_timer(milliseconds{150});
    CHECK(run.orders.answers.empty());
    run.run_timer(milliseconds{200});
    REQUIRE(run.orders.answers.size() == 1);
    CHECK(run.orders.answers.front().kind == answer_kind::failed);
    CHECK_FALSE(run.orders.attempts_here);
}

TEST_CASE("an instance that was held up itself reads its messages before it gives up") {
    running_handover run;
    const auto late = *run.handover->next_timer() + milliseconds{40};
    run.handover->on_timer(late);
    CHECK(run.orders.withdrawn.empty());
    REQUIRE(run.handover->next_timer());
    CHECK(*run.handover->next_timer() > late);
    run.handover->on_timer(*run.handover->next_timer() + milliseconds{40});
    CHECK(run.orders.withdrawn.size() == 1);
}

TEST_CASE("a client that leaves withdraws the order, and late reports change nothing") {
    running_handover run;
    run.report(gather_status::in_progress, milliseconds{1}, milliseconds{80});
    run.handover->on_client_disconnected(start_time + milliseconds{10});
    CHECK(run.orders.withdrawn == run.orders.ordered);
    run.report(gather_status::answered, milliseconds{20});
    CHECK(run.orders.answers.empty());
    CHECK_FALSE(run.handover->next_timer());
}

TEST_CASE("a gatherer near the shards is preferred, and one that failed is avoided") {
    running_handover run{{"far", "near", "far"}};
    CHECK(run.orders.ordered.front() == "g1");
    run.run_timer(milliseconds{30});
    // The next request of this instance.
    gather_delegation<fake_orders> next{run.state, run.orders, run.view, run.wanted, request()};
    next.start(start_time + milliseconds{100});
    CHECK(run.orders.ordered.back() != "g1");
}

TEST_CASE("without gatherers a gather is done here with all attempts") {
    running_handover run{{}};
    CHECK(run.orders.ordered.empty());
    CHECK(run.orders.attempts_here == 2);
}

}  // namespace
}  // namespace poplarfront::gateway
