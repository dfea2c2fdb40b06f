#include "daemon/forward_receiver.h"

#include <spdlog/spdlog.h>

#include "metrics/metrics_json.h"
#include "wire/traffic_codec.h"

namespace poplarfront::daemon {
namespace {

/// Deadlines are at most a minute; the rest is for messages that the transport delays.
constexpr auto forward_retention = std::chrono::minutes{5};

std::string name_of(const wire::envelope& message, std::uint64_t message_id) {
    return message.sender.text() + "/" + std::to_string(message.sender_incarnation.value) + "/" +
           std::to_string(message_id);
}

}  // namespace

forward_receiver::forward_receiver(std::shared_ptr<peer_link> link,
                                   std::shared_ptr<tier_state_publisher> publisher,
                                   std::shared_ptr<pending_forwards> pending,
                                   std::shared_ptr<action_loop> home)
    : link_(std::move(link)),
      publisher_(std::move(publisher)),
      pending_(std::move(pending)),
      home_(std::move(home)),
      seen_(forward_retention) {}

void forward_receiver::on_forward(const wire::envelope& message) {
    const auto now = std::chrono::steady_clock::now();
    const auto forward = wire::decode_action_forward(message.payload, now);
    if (!forward) {
        counts_.add("malformed");
        spdlog::warn("refused a malformed action of {}", message.sender.text());
        return;
    }
    const auto state = publisher_->state().read();
    const auto* sender = state->instances.find(message.sender);
    if (sender == nullptr) {
        counts_.add("unknown_sender");
        return;
    }
    if (!seen_.accept(name_of(message, forward->message_id), now)) {
        counts_.add("repeated");
        return;
    }
    const auto& action = forward->action;
    auto answer = [link = link_, address = sender->peer_address, id = forward->message_id,
                   request = action.request,
                   searcher = action.searcher](const model::action_outcome& outcome) {
        link->send(address, wire::message_kind::action_result,
                   wire::encode_action_result({id, request, searcher, outcome}));
    };
    if (!can_run(*state)) {
        counts_.add("refused");
        answer({model::action_status::not_run, "", std::string{home_refused_reason}});
        return;
    }
    counts_.add("accepted");
    home_->post(
        [action, answer = std::move(answer)](action_home& home) { home.run(action, answer); });
}

void forward_receiver::on_result(const wire::envelope& message) {
    auto result = wire::decode_action_result(message.payload);
    if (!result) {
        counts_.add("malformed");
        spdlog::warn("refused a malformed action result of {}", message.sender.text());
        return;
    }
    counts_.add(pending_->deliver(std::move(result.value())) ? "results" : "late_results");
}

bool forward_receiver::can_run(const tier_state& state) const {
    return !closed_ && state.configuration->revision.value != 0;
}

std::string forward_receiver::dump() const {
    return R"({"remembered":)" + std::to_string(seen_.size()) + R"(,"counts":)" +
           metrics::encode_counters(counts_.snapshot()) + "}";
}

}  // namespace poplarfront::daemon
