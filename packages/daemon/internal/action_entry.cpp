#include "daemon/action_entry.h"

#include <array>

#include "at_most_once/forwarded_action.h"
#include "daemon/forward_receiver.h"
#include "daemon/home_choice.h"
#include "metrics/metrics_json.h"
#include "wire/caller_json.h"

namespace poplarfront::daemon {
namespace {

constexpr unsigned bad_request = 400;
constexpr unsigned too_many_requests = 429;
constexpr unsigned service_unavailable = 503;

using outcome_mailbox = runtime::mailbox<model::action_outcome>;

/// A home transport made of a function.
template <class Forward>
class function_home_transport {
public:
    explicit function_home_transport(Forward forward) : forward_(std::move(forward)) {}
    void forward(const model::instance_id&, const model::action_request& action) {
        forward_(action);
    }

private:
    Forward forward_;
};

bool was_shed(const model::action_outcome& outcome) {
    return outcome.status == model::action_status::not_run &&
           outcome.reason == to_string(model::attempt_status::shed);
}

}  // namespace

runtime::http_response action_entry::serve(const runtime::http_request& request) {
    const auto now = clock_.now();
    const auto state = environment_.publisher->state().read();
    if (state->configuration->revision.value == 0) {
        return refuse(service_unavailable, "no_configuration", "",
                      "no accepted configuration is known yet");
    }
    if (state->leaving) {
        return refuse(service_unavailable, "leaving", "", "this instance is leaving");
    }
    wire::wire_error invalid;
    const auto action = kernel::handle<wire::wire_error>(
        [&]() -> kernel::result<std::optional<model::action_request>> {
            BOOST_LEAF_AUTO(decoded,
                            wire::decode_action(request.body, state->configuration->shard_map,
                                                environment_.ids->next(), now));
            return std::optional{std::move(decoded)};
        },
        [&](const wire::wire_error& error) -> std::optional<model::action_request> {
            invalid = error;
            return std::nullopt;
        });
    return action ? admit(*action, *state)
                  : refuse(bad_request, "invalid_request", invalid.field, invalid.message);
}

runtime::http_response action_entry::refuse(unsigned status, std::string_view type,
                                            std::string_view field, std::string_view message) {
    counts_.add(std::string{"refused_"}.append(type));
    return {status, wire::encode_refusal(type, field, message)};
}

runtime::http_response action_entry::admit(const model::action_request& action,
                                           const tier_state& state) {
    gate_->apply(*state.configuration, state.instances.working_instances().size());
    const std::array services{action.target.service};
    if (const auto refused = gate_->acquire(action.searcher, services, action.deadline)) {
        return refuse(too_many_requests, "overloaded", "", to_string(*refused));
    }
    const auto start = clock_.now();
    const auto outcome = run(action);
    const auto latency = clock_.now() - start;
    if (was_shed(outcome)) {
        gate_->release(latency, true);
    } else {
        gate_->release_unmeasured();
    }
    latency_.record(latency);
    counts_.add(to_string(outcome.status));
    return {200, wire::encode_outcome(action, outcome)};
}

model::action_outcome action_entry::run(const model::action_request& action) {
    const auto state = environment_.publisher->state().read();
    const auto& self = environment_.identity->instance;
    const auto* home = state->instances.find(home_for(action, state->instances, self));
    if (home == nullptr || home->instance == self) {
        return run_here(action);
    }
    const auto outcome = forward(*home, action);
    if (outcome.status == model::action_status::not_run && outcome.reason == home_refused_reason) {
        return run_here(action);
    }
    return outcome;
}

model::action_outcome action_entry::run_here(const model::action_request& action) {
    // The home answers by the deadline; the rest is for its thread's delays.
    constexpr auto grace = std::chrono::seconds{1};
    counts_.add("run_here");
    const auto mailbox = std::make_shared<outcome_mailbox>();
    environment_.home->post([action, mailbox](action_home& home) {
        home.run(action, [mailbox](const model::action_outcome& it) { mailbox->push(it); });
    });
    return mailbox->pop_until(action.deadline + grace)
        .value_or(model::action_outcome{model::action_status::unknown, "", "no_reply_from_home"});
}

model::action_outcome action_entry::forward(const model::instance_info& home,
                                            const model::action_request& action) {
    counts_.add("forwarded");
    const auto mailbox = std::make_shared<action_mailbox>();
    const auto message_id = environment_.pending->add(mailbox);
    function_home_transport transport{[&](const model::action_request& it) {
        environment_.link->send(home.peer_address, wire::message_kind::action_forward,
                                wire::encode_action_forward({message_id, it}, clock_.now()));
    }};
    at_most_once::forwarded_action forwarded{clock_, transport, home.instance, action};
    forwarded.start();
    while (!forwarded.result()) {
        if (const auto result = mailbox->pop_until(forwarded.next_timer())) {
            forwarded.on_result(result->request, result->searcher, result->outcome);
        } else {
            forwarded.on_timer();
        }
    }
    environment_.pending->remove(message_id);
    return *forwarded.result();
}

std::string action_entry::dump() const {
    return R"({"counts":)" + metrics::encode_counters(counts_.snapshot()) + R"(,"latency":)" +
           metrics::encode_latency(latency_.snapshot()) + "}";
}

}  // namespace poplarfront::daemon
