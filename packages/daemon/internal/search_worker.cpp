#include "daemon/search_worker.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <boost/json.hpp>
#include <limits>

#include "metrics/metrics_json.h"
#include "routing/batch_call.h"
#include "routing/query_session.h"
#include "wire/traffic_codec.h"

namespace poplarfront::daemon {
namespace {

/// A reply, or nothing to wake the fiber.
using reply_mailbox = runtime::mailbox<std::optional<model::attempt_reply>>;

/// A transport made of two functions.
template <class Send, class Cancel>
class function_transport {
public:
    function_transport(Send send, Cancel cancel)
        : send_(std::move(send)), cancel_(std::move(cancel)) {}

    void send(const model::shard_attempt& attempt) { send_(attempt); }
    void cancel(const model::shard_attempt& attempt) { cancel_(attempt); }
    void send(const model::instance_id& owner, const routing::sub_query_batch& batch) {
        send_(owner, batch);
    }
    void cancel(const model::instance_id& owner, const routing::sub_query_batch& batch) {
        cancel_(owner, batch);
    }

private:
    Send send_;
    Cancel cancel_;
};

/// A planner made of a function.
template <class Plan>
class function_planner {
public:
    explicit function_planner(Plan plan) : plan_(std::move(plan)) {}
    routing::query_plan plan(const model::search_request& request) { return plan_(request); }

private:
    Plan plan_;
};

/// Counts a request under way for as long as it lives.
class in_flight_guard {
public:
    explicit in_flight_guard(std::size_t& count) : count_(count) { ++count_; }
    ~in_flight_guard() { --count_; }
    in_flight_guard(const in_flight_guard&) = delete;
    in_flight_guard& operator=(const in_flight_guard&) = delete;

private:
    std::size_t& count_;
};

}  // namespace

std::shared_ptr<search_worker> search_worker::create(std::shared_ptr<runtime::fiber_thread> thread,
                                                     search_environment environment) {
    return std::shared_ptr<search_worker>(
        new search_worker(std::move(thread), std::move(environment)));
}

search_worker::search_worker(std::shared_ptr<runtime::fiber_thread> thread,
                             search_environment environment)
    : thread_(std::move(thread)),
      environment_(std::move(environment)),
      backends_(thread_, environment_.identity, environment_.threads),
      routing_(environment_.identity->incarnation_number.value) {}

void search_worker::apply_policy(const tier_state& state) {
    const auto now = clock_.now();
    for (const auto& server : state.draining) {
        routing_.replicas.mark_draining(server, now);
    }
    const auto& configuration = *state.configuration;
    if (configuration.revision == configuration_revision_) {
        return;
    }
    configuration_revision_ = configuration.revision;
    routing_.versions.retain(configuration.shard_map);
    const auto& canary = configuration.policy.canary;
    routing_.policy.min_shards_for_canary =
        canary.width == 0 ? std::numeric_limits<std::size_t>::max() : canary.width;
    routing_.policy.canary_timeout = std::chrono::milliseconds{canary.wait_ms};
    apply_retry_policy(configuration.policy.retry);
}

void search_worker::apply_retry_policy(const configuration::retry_policy& policy) {
    constexpr double percent = 100.0;
    // Attempts get four fifths: a resent batch repeats all its shards, so it is the rarer remedy.
    constexpr double attempt_part = 0.8;
    const auto options = [&](double part, retry::retry_budget_options of) {
        of.steady_ratio = part * policy.steady_percent / percent;
        of.fault_ratio = part * policy.fault_percent / percent;
        return of;
    };
    routing_.attempt_budget =
        retry::retry_budget{options(attempt_part, routing::attempt_budget_options())};
    routing_.batch_budget =
        retry::retry_budget{options(1.0 - attempt_part, routing::batch_budget_options())};
    retry::hedge_policy_options hedge;
    hedge.min_delay = std::chrono::milliseconds{policy.minimum_delay_ms};
    hedge.max_delay = std::chrono::milliseconds{policy.maximum_delay_ms};
    routing_.attempt_hedge = retry::hedge_policy{hedge};
}

model::search_answer search_worker::search(const model::search_request& request) {
    const in_flight_guard counted{in_flight_};
    const auto start = clock_.now();
    apply_policy(*environment_.state());
    const auto mailbox = std::make_shared<session_mailbox>();
    environment_.pending->add(request.request, mailbox);
    searching_.insert(mailbox);
    function_transport transport{
        [&](const auto& owner, const auto& batch) { send_batch(owner, batch, mailbox); },
        [&](const auto& owner, const auto& batch) { cancel_batch(owner, batch); }};
    function_planner planner{[this](const auto& it) { return plan(it); }};
    routing::query_session session{clock_, transport, routing_.context(), planner, request};
    session.start();
    while (!session.answer()) {
        const auto event = mailbox->pop_until(session.next_timer());
        if (!event || std::holds_alternative<quarantine_changed>(*event)) {
            session.on_timer();
        } else if (const auto* result = std::get_if<routing::sub_query_result>(&*event)) {
            session.on_result(*result);
            announce_quarantined();
        } else {
            session.on_owner_lost(std::get<owner_lost>(*event).owner);
        }
    }
    environment_.pending->remove(request.request);
    searching_.erase(mailbox);
    search_latency_.record(clock_.now() - start);
    counts_.add(session.answer()->complete() ? "complete" : "incomplete");
    return *session.answer();
}

routing::query_plan search_worker::plan(const model::search_request& request) const {
    const auto state = environment_.state();
    const auto& map = state->configuration->shard_map;
    std::vector<model::service_id> known;
    routing::query_plan plan;
    for (const auto& service : request.services) {
        if (map.find_service(service) != nullptr) {
            known.push_back(service);
        } else {
            // The service was removed after the request was checked: without a missing shard the
            // answer would seem complete.
            plan.groups.push_back({{{service, model::shard_id::trusted("unknown")}}, {}});
        }
    }
    const auto shards = map.shards_of(known);
    plan.snapshot = {map.map_revision(),
                     routing_.versions.choose(map, shards).value_or(model::index_version{})};
    std::map<std::size_t, std::vector<model::shard_ref>> by_group;
    for (const auto& shard : shards) {
        by_group[state->ownership.group_of(shard).value_or(0)].push_back(shard);
    }
    for (auto& [group, members] : by_group) {
        plan.groups.push_back(
            {std::move(members), ordered_owners(*state, state->ownership.owners(group))});
    }
    return plan;
}

std::vector<model::instance_id> search_worker::ordered_owners(
    const tier_state& state, std::span<const model::instance_id> owners) const {
    const auto& self = environment_.identity->instance;
    std::vector<model::instance_id> ordered{owners.begin(), owners.end()};
    const auto rank = [&](const model::instance_id& id) {
        const auto* info = state.instances.find(id);
        const bool suspect = info == nullptr || info->status != model::instance_status::alive;
        return std::pair{id != self, suspect};
    };
    std::stable_sort(ordered.begin(), ordered.end(),
                     [&](const auto& a, const auto& b) { return rank(a) < rank(b); });
    constexpr std::size_t max_owners = 4;
    ordered.resize(std::min(ordered.size(), max_owners));
    return ordered;
}

void search_worker::send_batch(const model::instance_id& owner,
                               const routing::sub_query_batch& batch,
                               const std::shared_ptr<session_mailbox>& mailbox) {
    if (owner == environment_.identity->instance) {
        thread_->spawn(
            [self = shared_from_this(), batch, mailbox] { mailbox->push(self->execute(batch)); });
        return;
    }
    const auto state = environment_.state();
    const auto* info = state->instances.find(owner);
    if (info == nullptr || info->status == model::instance_status::failed) {
        mailbox->push(owner_lost{owner});
        return;
    }
    environment_.link->send(info->peer_address, wire::message_kind::sub_query_batch,
                            wire::encode_batch(batch, clock_.now()));
}

void search_worker::cancel_batch(const model::instance_id& owner,
                                 const routing::sub_query_batch& batch) {
    if (owner == environment_.identity->instance) {
        cancel(batch.request, batch.batch);
        return;
    }
    const auto state = environment_.state();
    if (const auto* info = state->instances.find(owner)) {
        environment_.link->send(info->peer_address, wire::message_kind::sub_query_cancel,
                                wire::encode_batch_cancel({batch.request, batch.batch}));
    }
}

routing::sub_query_result search_worker::execute(const routing::sub_query_batch& batch) {
    const in_flight_guard counted{in_flight_};
    const auto state = environment_.state();
    apply_policy(*state);
    const auto replies = std::make_shared<reply_mailbox>();
    function_transport transport{
        [&](const model::shard_attempt& attempt) {
            thread_->spawn([self = shared_from_this(), attempt, state, replies] {
                const auto start = self->clock_.now();
                auto reply = self->backends_.call(attempt, *state);
                self->attempt_latency_.record(self->clock_.now() - start);
                self->report(reply);
                replies->push(std::move(reply));
            });
        },
        [&](const model::shard_attempt& attempt) { backends_.cancel(attempt, *state); }};
    const auto replicas_of = [&](const model::shard_ref& shard) {
        const auto* info = state->configuration->shard_map.find_shard(shard);
        return info == nullptr ? std::vector<model::server_id>{} : info->replicas;
    };
    routing::batch_call call{clock_, transport, routing_.context(), batch, replicas_of};
    const batch_key key{batch.request, batch.batch};
    const auto wake = [&] { replies->push(std::nullopt); };
    running_[key] = {[&] {
                         call.cancel();
                         wake();
                     },
                     wake};
    call.start();
    while (!call.result()) {
        const auto event = replies->pop_until(call.next_timer());
        if (event && *event) {
            call.on_reply(**event);
            announce_quarantined();
        } else {
            call.on_timer();
        }
    }
    running_.erase(key);
    return *call.result();
}

void search_worker::report(const model::attempt_reply& reply) {
    counts_.add(std::string{"attempt_"} + std::string{to_string(reply.status)});
    if (reply.status == model::attempt_status::draining) {
        environment_.on_draining(reply.server);
    }
}

void search_worker::cancel(const model::request_id& request, std::uint32_t batch) {
    if (const auto it = running_.find({request, batch}); it != running_.end()) {
        it->second.cancel();
    }
}

void search_worker::import_quarantined(routing::query_fingerprint query) {
    routing_.quarantine.merge({query, {}, true}, clock_.now());
    wake_all();
}

void search_worker::announce_quarantined() {
    bool changed = false;
    for (const auto& change : routing_.quarantine.take_changes(clock_.now())) {
        if (change.quarantined) {
            changed = true;
            spdlog::warn("quarantined a query that crashes backend servers: fingerprint={:x}",
                         change.fingerprint);
            environment_.on_quarantined(change.fingerprint);
        }
    }
    if (changed) {
        wake_all();
    }
}

void search_worker::wake_all() {
    for (const auto& [key, batch] : running_) {
        batch.wake();
    }
    for (const auto& mailbox : searching_) {
        mailbox->push(quarantine_changed{});
    }
}

std::string search_worker::dump() const {
    const auto connections = backends_.transport_counters();
    auto text = boost::json::serialize(boost::json::object{
        {"in_flight", in_flight_},
        {"primaries", routing_.counters.primaries},
        {"hedges", routing_.counters.hedges},
        {"retries", routing_.counters.retries},
        {"budget_denials", routing_.counters.budget_denials},
        {"dropped_replies", routing_.counters.dropped_replies},
        {"batches", routing_.counters.batches},
        {"batch_resends", routing_.counters.batch_resends},
        {"restarts", routing_.counters.restarts},
        {"canaries", routing_.counters.canaries},
        {"connections_opened", connections.connections_opened},
        {"connections_lost", connections.connections_lost},
    });
    text.pop_back();
    return text + R"(,"counts":)" + metrics::encode_counters(counts_.snapshot()) +
           R"(,"search_latency":)" + metrics::encode_latency(search_latency_.snapshot()) +
           R"(,"attempt_latency":)" + metrics::encode_latency(attempt_latency_.snapshot()) + "}";
}

}  // namespace poplarfront::daemon
