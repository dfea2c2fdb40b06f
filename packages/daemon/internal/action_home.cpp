#include "daemon/action_home.h"

#include <algorithm>
#include <chrono>
#include <random>

#include "metrics/metrics_json.h"

namespace poplarfront::daemon {

struct action_loop_reference {
    std::weak_ptr<action_loop> loop;
};

namespace {

/// The store answers within milliseconds; a claim whose first call gets no reply can still be read
/// back within the deadlines that callers usually state.
constexpr auto store_call_limit = std::chrono::milliseconds{500};

/// Two instances with the same sequence of nonces could both take a claim for their own, so the
/// seed must not follow from settings or start times.
std::uint64_t unpredictable_seed() {
    std::random_device device;
    constexpr unsigned half_bits = 32;
    return (std::uint64_t{device()} << half_bits) | device();
}

at_most_once::wall_time wall_clock_now() {
    return std::chrono::duration_cast<at_most_once::wall_time>(
        std::chrono::system_clock::now().time_since_epoch());
}

std::optional<model::server_id> replica_for(const model::action_request& action,
                                            const tier_state& state) {
    const auto* shard = state.configuration->shard_map.find_shard(action.target);
    if (shard == nullptr) {
        return std::nullopt;
    }
    const auto found = std::find_if(shard->replicas.begin(), shard->replicas.end(),
                                    [&](const auto& it) { return !state.draining.contains(it); });
    return found == shard->replicas.end() ? std::nullopt : std::optional{*found};
}

at_most_once::action_reply send_once(search_worker& worker, const model::action_request& action,
                                     const tier_state& state) {
    const auto server = replica_for(action, state);
    if (!server) {
        return {action.request, action.searcher, model::attempt_status::not_sent, ""};
    }
    const auto reply = worker.backends().act(action, *server, state);
    if (reply.status == model::attempt_status::draining) {
        worker.on_draining(*server);
    }
    if (reply.request != action.request || reply.searcher != action.searcher) {
        // The action may have run, but this is not its reply.
        return {action.request, action.searcher, model::attempt_status::timed_out, ""};
    }
    return {reply.request, reply.searcher, reply.status, reply.reply};
}

}  // namespace

void claim_completions::on_read(store::call_id call, const store::read_outcome& outcome) {
    if (const auto loop = target_->loop.lock()) {
        loop->post([call, outcome](action_home& home) { home.on_read(call, outcome); });
    }
}

void claim_completions::on_write(store::call_id call, const store::write_outcome& outcome) {
    if (const auto loop = target_->loop.lock()) {
        loop->post([call, outcome](action_home& home) { home.on_write(call, outcome); });
    }
}

void backend_action_transport::send(at_most_once::action_number number,
                                    const model::action_request& action) {
    worker_->thread()->spawn(
        [worker = worker_, state = state_(), target = target_, number, action] {
            const auto reply = send_once(*worker, action, *state);
            if (const auto it = target->loop.lock()) {
                it->post([number, reply](action_home& home) { home.on_reply(number, reply); });
            }
        });
}

std::shared_ptr<action_home> action_home::create(
    std::shared_ptr<search_worker> worker, std::function<std::shared_ptr<const tier_state>()> state,
    std::shared_ptr<store::http_store_client> store) {
    return std::shared_ptr<action_home>(
        new action_home(std::move(worker), std::move(state), std::move(store)));
}

action_home::action_home(std::shared_ptr<search_worker> worker,
                         std::function<std::shared_ptr<const tier_state>()> state,
                         std::shared_ptr<store::http_store_client> store)
    : random_(unpredictable_seed()),
      client_(std::move(store)),
      loop_(std::make_shared<action_loop_reference>()),
      store_(worker->thread(), client_, std::make_shared<claim_completions>(loop_),
             store_call_limit),
      transport_(std::move(worker), std::move(state), loop_),
      claims_(clock_, random_, store_, at_most_once::claim_policy{}),
      actions_(clock_, transport_, claims_) {}

void action_home::run(const model::action_request& action, outcome_sink on_outcome) {
    sinks_.emplace(actions_.start(action, wall_clock_now()), std::move(on_outcome));
}

void action_home::on_reply(at_most_once::action_number number,
                           const at_most_once::action_reply& reply) {
    actions_.on_reply(number, reply);
}

void action_home::on_read(store::call_id call, const store::read_outcome& outcome) {
    claims_.on_read(call, outcome);
}

void action_home::on_write(store::call_id call, const store::write_outcome& outcome) {
    claims_.on_write(call, outcome);
}

std::optional<kernel::time_point> action_home::next_timer() const {
    const auto claim = claims_.next_timer();
    const auto action = actions_.next_timer();
    return claim && action ? std::min(claim, action) : (claim ? claim : action);
}

void action_home::on_timer() {
    claims_.on_timer();
    actions_.on_timer();
}

void action_home::after_step() {
    actions_.on_claim_events();
    for (const auto& result : actions_.take_results()) {
        outcomes_.add(to_string(result.outcome.status));
        const auto found = sinks_.find(result.number);
        found->second(result.outcome);
        sinks_.erase(found);
    }
}

std::string action_home::dump() const {
    return R"({"under_way":)" + std::to_string(actions_.size()) + R"(,"claims_waiting":)" +
           std::to_string(claims_.pending_changes()) + R"(,"cached_bytes":)" +
           std::to_string(claims_.cached_bytes()) + R"(,"outcomes":)" +
           metrics::encode_counters(outcomes_.snapshot()) + R"(,"claims":)" +
           at_most_once::to_json(claims_.count()) + R"(,"store":)" +
           store::to_json(client_->counters()) + "}";
}

std::shared_ptr<action_loop> create_loop(action_home& home) {
    auto loop = action_loop::create(home);
    home.loop_reference()->loop = loop;
    return loop;
}

}  // namespace poplarfront::daemon
