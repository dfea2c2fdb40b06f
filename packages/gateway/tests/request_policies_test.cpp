#include <catch2/catch.hpp>
#include <vector>

#include "fixture.h"
#include "gateway/backend_choice.h"
#include "gateway/extra_attempts.h"
#include "gateway/request_answer.h"
#include "gateway/request_parts.h"
#include "gateway/request_trial.h"

/// The rules of a request_session without the session.
namespace poplarfront::gateway {
namespace {

constexpr std::size_t shard_count = 4;

/// A gather over four shards, of which three are needed.
struct gather_parts {
    fleet deployment{shard_count};
    std::shared_ptr<const fleet_view> view = deployment.published();
    kernel::seeded_random_source random{1};
    request_parts parts = request_parts::create(deployment.gather, *view, random);
};

retry::retry_budget budget_of(double tokens, double reserve = 0) {
    retry::retry_budget_options options;
    options.burst = tokens;
    options.reserve = reserve;
    options.idle_refill = std::chrono::hours{24};
    retry::retry_budget budget{options};
    budget.refill(start_time);
    return budget;
}

// Guards against an answer below the minimum coverage, and against a refusal above it.
TEST_CASE("the parts of a gather suffice from the minimum coverage on") {
    gather_parts gather;
    auto& parts = gather.parts;
    REQUIRE(parts.size() == shard_count);
    REQUIRE(parts.needed_count() == 3);
    parts[0].state = part_state::failed;
    CHECK(parts.can_succeed_without(parts.failed_count()));
    parts[1].state = part_state::refused;
    CHECK_FALSE(parts.can_succeed_without(parts.failed_count()));
    parts[2].state = part_state::answered;
    parts[3].state = part_state::answered;
    CHECK_FALSE(parts.coverage_suffices());
    parts[1].state = part_state::answered;
    CHECK(parts.coverage_suffices());
}

// Guards against rounding that asks for one part more than the coverage does.
TEST_CASE("a coverage that is a whole number of parts needs no further part") {
    fleet deployment{100};
    auto wanted = deployment.gather;
    std::get<gather_plan>(wanted.target).min_coverage = 0.89;
    kernel::seeded_random_source random{1};
    const auto view = deployment.published();
    CHECK(request_parts::create(wanted, *view, random).needed_count() == 89);
}

// Guards against the promise that a request has not run while a backend server may be running it.
TEST_CASE("a request with an attempt under way may have run") {
    gather_parts gather;
    CHECK(gather.parts.has_not_run());
    gather.parts[2].in_flight = 1;
    CHECK_FALSE(gather.parts.has_not_run());
    gather.parts[2].in_flight = 0;
    gather.parts[2].may_have_run = true;
    CHECK_FALSE(gather.parts.has_not_run());
}

// Guards against a second execution of a request that may run once at most, and against sends
// without end to a service that refuses.
TEST_CASE("a part is retried within its attempts, and only if that is safe") {
    request_part part;
    part.send_count = 1;
    CHECK(may_retry(part, 2, retry_safety::safe));
    CHECK(may_retry(part, 2, retry_safety::at_most_once));
    part.may_have_run = true;
    CHECK(may_retry(part, 2, retry_safety::safe));
    CHECK_FALSE(may_retry(part, 2, retry_safety::at_most_once));
    part.send_count = 2;
    CHECK_FALSE(may_retry(part, 2, retry_safety::safe));
    part.not_run_count = 1;
    CHECK(may_retry(part, 2, retry_safety::safe));
    part.send_count = 4;
    part.not_run_count = 4;
    CHECK_FALSE(may_retry(part, 2, retry_safety::safe));
}

// Guards against hedges that use up the tokens that requests need which would fail otherwise.
TEST_CASE("the reserve of a budget is used only if the request would fail") {
    gather_parts gather;
    const auto budget = budget_of(1.5, 1);
    CHECK_FALSE(allows_extra(budget, gather.parts, 1, start_time));
    CHECK(allows_extra(budget, gather.parts, 2, start_time));
}

// Guards against retries that empty one budget while another one is full.
TEST_CASE("refused parts with the fullest budgets are retried first") {
    gather_parts gather;
    std::map<model::service_id, retry::retry_budget> budgets;
    const std::vector<double> tokens{1, 3, 0.5, 2};
    for (std::size_t it = 0; it < shard_count; ++it) {
        gather.parts[it].state = part_state::refused;
        budgets.emplace(gather.parts[it].service, budget_of(tokens[it]));
    }
    CHECK(needed_retries(gather.parts) == 3);
    const auto budget = [&](const request_part& part) -> const retry::retry_budget& {
        return budgets.at(part.service);
    };
    const auto any = [](const request_part&) { return true; };
    CHECK(refused_parts_within_budget(gather.parts, budget, any, start_time) ==
          std::vector<std::size_t>{1, 3, 0});
    const auto not_first = [&](const request_part& it) { return &it != &gather.parts[1]; };
    CHECK(refused_parts_within_budget(gather.parts, budget, not_first, start_time) ==
          std::vector<std::size_t>{3, 0});
}

// Guards against an attempt at a backend server that is gone, and against waiting for a service
// whose backend servers will not become free.
TEST_CASE("a backend server is chosen only among those that may get the request") {
    gather_parts gather;
    traffic_state state{test_options(), 1};
    const auto& part = gather.parts[0];
    const auto choose = [&](const auto& is_candidate) {
        return choose_backend(part, *gather.view, state, start_time, is_candidate);
    };
    const auto only_second = choose([](const backend_entry& it) { return it.id.text() == "s0-1"; });
    REQUIRE(only_second.result == backend_choice::outcome::chosen);
    CHECK(only_second.backend->id.text() == "s0-1");
    CHECK(choose([](const backend_entry&) { return false; }).result ==
          backend_choice::outcome::none_left);
    for (const auto& it : *part.backends) {
        for (std::uint32_t n = 0; n < state.in_flight_limit(*gather.view, part.service); ++n) {
            state.replicas().on_sent(it->id);
        }
    }
    CHECK(choose([](const backend_entry&) { return true; }).result ==
          backend_choice::outcome::all_busy);
    state.replicas().mark_draining(model::server_id::trusted("s0-0"), start_time);
    state.replicas().mark_draining(model::server_id::trusted("s0-1"), start_time);
    CHECK(choose([](const backend_entry&) { return true; }).result ==
          backend_choice::outcome::none_left);
}

// Guards against an answer from which the client concludes that an executed request has not run.
TEST_CASE("a 503 of an executed request is not forwarded") {
    backend_reply reply;
    reply.status = 503;
    reply.status_implies_not_run = true;
    CHECK(forwarded_answer(reply).kind == answer_kind::failed);
    reply.executed = false;
    CHECK(forwarded_answer(reply).kind == answer_kind::passed_on);
}

// Guards against clients that all return at the same moment.
TEST_CASE("clients of refused requests return after the wait, spread over a longer time") {
    const auto options = test_options();
    kernel::seeded_random_source random{1};
    const kernel::duration wait = std::chrono::seconds{8};
    const auto first = refused_answer("paused", wait, options, random).retry_after;
    const auto second = refused_answer("paused", wait, options, random).retry_after;
    CHECK(first != second);
    for (const auto it : {first, second}) {
        CHECK(it >= wait);
        CHECK(it <= wait + wait / 4);
    }
}

/// Attempts at the shards of a gather, sent and lost as one test says.
struct trial_of_gather {
    gather_parts gather;
    crash_quarantine quarantine;
    request_trial trial{quarantine, 1, true};
    std::vector<backend_attempt> attempts;

    request_trial::evidence send_and_end(std::size_t part, const attempt_result& result) {
        attempts.push_back({part, gather.parts[part].backends->front(), start_time, true});
        return trial.on_result(attempts, attempts.size() - 1, result, start_time);
    }
};

// Guards against a request that is sent on while it crashes one backend server after the other.
TEST_CASE("a gather that loses three connections is forbidden until a trial survives") {
    trial_of_gather lost;
    for (std::size_t part = 0; part < 3; ++part) {
        CHECK(lost.send_and_end(part, ended(attempt_end::lost)) ==
              request_trial::evidence::connection_lost);
    }
    CHECK(lost.trial.probing());
    const auto forbids = [&](std::size_t part) {
        return lost.trial.forbids(part, lost.gather.parts[part].service);
    };
    CHECK(forbids(0));
    CHECK(forbids(3));
    lost.trial.start_retry(0);
    CHECK_FALSE(forbids(0));
    CHECK(forbids(1));
    CHECK(lost.send_and_end(0, success("part")) == request_trial::evidence::trial_survived);
    CHECK(lost.trial.idle());
    CHECK(lost.trial.retry_ended());
    CHECK_FALSE(forbids(1));
}

// Guards against a reset of many connections that counts as a crash, and against a crash that
// counts as a reset because something accepts connections at the address.
TEST_CASE("resets are told from crashes by as many executions elsewhere") {
    trial_of_gather lost;
    lost.send_and_end(0, ended(attempt_end::lost));
    lost.send_and_end(1, ended(attempt_end::lost));
    lost.send_and_end(2, success("part"));
    lost.trial.on_probe_result(lost.attempts, 0, true, start_time);
    lost.trial.on_probe_result(lost.attempts, 1, true, start_time);
    CHECK_FALSE(lost.trial.probing());
    CHECK(lost.quarantine.suspected(1));
    lost.send_and_end(3, success("part"));
    CHECK_FALSE(lost.quarantine.suspected(1));
}

}  // namespace
}  // namespace poplarfront::gateway
