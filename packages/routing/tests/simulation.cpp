#include "simulation.h"

#include <algorithm>

namespace poplarfront::routing {
namespace {

using namespace std::chrono_literals;

constexpr auto run_time = 5s;
constexpr auto query_timeout = 200ms;
constexpr std::uint32_t attempt_bits_per_batch = 18;
const std::string crashing_query_text = "killer";

}  // namespace

void simulation::instance_environment::cancel(const model::instance_id& owner,
                                              const sub_query_batch& batch) {
    const auto to = instance_index(owner);
    const batch_key key{batch.request, batch.batch};
    parent.schedule_after(parent.uniform_between(0.1, 0.5), [&target = parent, to, key] {
        target.run_on_instance(to, [&target, to, key] {
            const auto it = target.instances_[to]->calls.find(key);
            if (it != target.instances_[to]->calls.end()) {
                it->second.call->cancel();
            }
        });
    });
}

model::shard_map simulation::make_map(std::uint64_t revision) {
    std::vector<model::server_info> servers;
    for (std::size_t it = 0; it < server_count; ++it) {
        servers.push_back({server(static_cast<int>(it))});
    }
    model::service_info service{shard(0).service, "", {}};
    for (int it = 0; it < shard_count(revision); ++it) {
        const auto base = it / static_cast<int>(shards_per_group) * int{servers_per_group};
        const auto first = it % int{servers_per_group};
        const auto second = (it + 1) % int{servers_per_group};
        service.shards.push_back({shard(it).shard, {server(base + first), server(base + second)}});
    }
    return *model::shard_map::create({revision}, {service}, servers);
}

std::vector<model::record> simulation::records_of(const model::pin& snapshot, int number,
                                                  const model::request_id& request) {
    std::vector<model::record> records;
    for (int key = 0; key < key_count; ++key) {
        if (key % shard_count(snapshot.map_revision.value) == number) {
            records.push_back({std::to_string(key),
                               std::to_string(snapshot.version.value) + "@" + request.text()});
        }
    }
    return records;
}

query_plan simulation::plan(std::size_t index, const model::search_request& request) {
    auto& simulated = *instances_[index];
    const auto& map = maps_.at(simulated.map_revision);
    const auto shards = map.shards_of(request.services);
    const auto version = simulated.state.versions.choose(map, shards);
    query_plan plan{{map.map_revision(), version.value_or(model::index_version{})}, {}};
    for (const auto& it : shards) {
        const auto group = static_cast<std::size_t>(shard_number(it)) / shards_per_group;
        plan.groups.resize(std::max(plan.groups.size(), group + 1));
        plan.groups[group].shards.push_back(it);
    }
    for (std::size_t group = 0; group < plan.groups.size(); ++group) {
        for (std::size_t it = 0; it < instance_count; ++it) {
            const auto owner = (group + it) % instance_count;
            if (!simulated.lost_peers.contains(owner)) {
                plan.groups[group].owners.push_back(instance(static_cast<int>(owner)));
            }
        }
    }
    return plan;
}

void simulation::schedule_faults() {
    for (std::uint64_t version = 4; version < 60; ++version) {
        for (std::size_t it = 0; it < server_count; ++it) {
            const auto when = 85.0 * static_cast<double>(version - 3) + uniform_between(0, 15);
            schedule_after(when, [this, it, version] { servers_[it].newest = version; });
        }
    }
    if (options_.straggler) {
        servers_[4].slow_until = kernel::time_point::max();
    }
    if (!options_.faults) {
        return;
    }
    if (is_scheduled(simulated_fault::slow_server)) {
        const auto slow = random_.next() % server_count;
        schedule_after(uniform_between(300, 900),
                       [this, slow] { servers_[slow].slow_until = clock_.now() + 1s; });
    }
    if (is_scheduled(simulated_fault::draining_server)) {
        schedule_drain();
    }
    if (is_scheduled(simulated_fault::repartition)) {
        schedule_repartition();
    }
    if (is_scheduled(simulated_fault::shedding)) {
        schedule_after(2800, [this] { shed_rate_ = 0.3; });
        schedule_after(3300, [this] { shed_rate_ = 0.005; });
    }
    if (is_scheduled(simulated_fault::lost_results)) {
        schedule_after(2800, [this] { result_loss_ = 0.3; });
        schedule_after(3300, [this] { result_loss_ = 0.003; });
    }
    if (is_scheduled(simulated_fault::frozen_instance)) {
        const auto frozen = random_.next() % instance_count;
        schedule_after(uniform_between(2500, 3000),
                       [this, frozen] { instances_[frozen]->frozen_until = clock_.now() + 250ms; });
    }
    if (is_scheduled(simulated_fault::lost_instance)) {
        schedule_lost_instance();
    }
    if (is_scheduled(simulated_fault::crashed_server)) {
        const auto crashing = random_.next() % server_count;
        schedule_after(uniform_between(4200, 4600), [this, crashing] { crash(crashing); });
    }
    for (int it = 0; is_scheduled(simulated_fault::crashing_query) && it < 5; ++it) {
        schedule_after(200 + 250 * it + uniform_between(0, 100),
                       [this] { submit(random_.next() % instance_count, crashing_query_text); });
    }
}

void simulation::schedule_drain() {
    const auto draining = random_.next() % server_count;
    schedule_after(uniform_between(500, 1500), [this, draining] {
        servers_[draining].drain_notice = clock_.now();
        for (std::size_t it = 0; it < instance_count; ++it) {
            schedule_after(uniform_between(0, 1500), [this, it, draining] {
                run_on_instance(it, [this, it, draining] {
                    instances_[it]->state.replicas.mark_draining(server(static_cast<int>(draining)),
                                                                 clock_.now());
                });
            });
        }
    });
}

void simulation::schedule_repartition() {
    const auto repartition = uniform_between(1600, 2400);
    for (std::size_t it = 0; it < server_count; ++it) {
        schedule_after(repartition + uniform_between(0, 20),
                       [this, it] { servers_[it].map_revision = 2; });
    }
    for (std::size_t it = 0; it < instance_count; ++it) {
        schedule_after(repartition + uniform_between(0, 30),
                       [this, it] { instances_[it]->map_revision = 2; });
    }
}

void simulation::schedule_lost_instance() {
    const auto lost = random_.next() % instance_count;
    schedule_after(uniform_between(3500, 3900), [this, lost] {
        instances_[lost]->frozen_until = kernel::time_point::max();
        for (std::size_t it = 0; it < instance_count; ++it) {
            schedule_after(uniform_between(600, 900), [this, it, lost] {
                instances_[it]->lost_peers.insert(lost);
                for (auto& [request, open] : instances_[it]->sessions) {
                    open.session->on_owner_lost(instance(static_cast<int>(lost)));
                    advance_session(it, request);
                }
            });
        }
    });
}

void simulation::schedule_queries() {
    for (double when = 10; when < 4700; when += uniform_between(4, 12)) {
        schedule_after(when, [this] {
            const auto text = "q" + std::to_string(random_.next() % 50);
            submit(random_.next() % instance_count, text);
        });
    }
}

simulation_report simulation::run() {
    schedule_faults();
    schedule_queries();
    const auto end = clock_.now() + run_time;
    while (!events_.empty() && events_.begin()->first < end) {
        auto event = events_.extract(events_.begin());
        clock_.set(event.key());
        event.mapped()();
    }
    for (const auto& simulated : instances_) {
        for (const auto& [request, open] : simulated->sessions) {
            const bool lost = simulated->frozen_until == kernel::time_point::max();
            check_invariant(open.checked || lost, "every query is answered");
        }
        const auto& counters = simulated->state.counters;
        report_.counters.hedges += counters.hedges;
        report_.counters.retries += counters.retries;
        report_.counters.dropped_replies += counters.dropped_replies;
        report_.counters.batch_resends += counters.batch_resends;
        report_.counters.restarts += counters.restarts;
        report_.counters.canaries += counters.canaries;
    }
    check_extra_requests();
    return std::move(report_);
}

void simulation::submit(std::size_t index, const std::string& query) {
    run_on_instance(index, [this, index, query] {
        auto& simulated = *instances_[index];
        const auto id = model::request_id::trusted("r" + std::to_string(next_request_++));
        const bool first = query == crashing_query_text || next_request_ % 2 == 0;
        const auto searcher = model::searcher_id::trusted(first ? "mill" : "barn");
        auto& open = simulated.sessions[id];
        open.started = clock_.now();
        open.request = {id, searcher, {shard(0).service}, query, clock_.now() + query_timeout};
        open.session =
            std::make_unique<session_type>(clock_, simulated.environment, simulated.state.context(),
                                           simulated.environment, open.request);
        open.session->start();
        advance_session(index, id);
    });
}

void simulation::send_batch(std::size_t from, const model::instance_id& owner,
                            const sub_query_batch& batch) {
    auto& sender = *instances_[from];
    bool is_new = true;
    for (const auto& it : batch.shards) {
        is_new = seen_batches_.emplace(batch.request, batch.snapshot, it).second && is_new;
    }
    ++(is_new ? sender.batches : sender.extra_batches);
    const auto to = instance_index(owner);
    schedule_after(uniform_between(0.1, 0.5), [this, from, to, batch] {
        run_on_instance(to, [this, from, to, batch] {
            auto& simulated = *instances_[to];
            const auto& map = maps_.at(simulated.map_revision);
            const auto replicas_of = [&](const model::shard_ref& ref) {
                const auto* info = map.find_shard(ref);
                return info == nullptr ? std::vector<model::server_id>{} : info->replicas;
            };
            const batch_key key{batch.request, batch.batch};
            auto& open = simulated.calls[key];
            open.entry = from;
            open.call = std::make_unique<batch_type>(clock_, simulated.environment,
                                                     simulated.state.context(), batch, replicas_of);
            open.call->start();
            advance_call(to, key);
        });
    });
}

void simulation::send_attempt(std::size_t from, const model::shard_attempt& attempt) {
    auto& target = servers_[server_index(attempt.server)];
    if (target.drain_notice != kernel::time_point::max()) {
        check_invariant(clock_.now() <= target.drain_notice + 2s,
                        "no new attempts later than 2 s after a drain notice");
    }
    const batch_key batch{attempt.request, attempt.attempt >> attempt_bits_per_batch};
    const bool primary = seen_attempts_.emplace(from, batch, attempt.shard).second;
    ++(primary ? instances_[from]->attempts : instances_[from]->extra_attempts);
    const bool first =
        seen_shards_.emplace(attempt.request, attempt.snapshot, attempt.shard).second;
    ++(first ? report_.primaries : report_.extra);
    schedule_after(uniform_between(0.1, 0.5), [this, from, attempt] { execute(from, attempt); });
}

void simulation::cancel_attempt(std::size_t from, const model::shard_attempt& attempt) {
    // Half of the cancels arrive too late, so that there are replies to attempts that have ended.
    if (!fault_occurs(0.5)) {
        servers_[server_index(attempt.server)].running.erase(
            {from, {attempt.request, attempt.attempt}});
    }
}

void simulation::execute(std::size_t from, const model::shard_attempt& attempt) {
    const auto index = server_index(attempt.server);
    auto& target = servers_[index];
    auto answer = reply_to(attempt, model::attempt_status::ok);
    answer.versions = model::version_range{{target.newest - 2}, {target.newest}};
    if (clock_.now() < target.down_until) {
        answer.status = model::attempt_status::not_sent;
        answer.versions.reset();
    } else if (target.drain_notice <= clock_.now()) {
        answer.status = model::attempt_status::draining;
    } else if (target.map_revision != attempt.snapshot.map_revision.value) {
        answer.status = model::attempt_status::wrong_map;
    } else if (fault_occurs(shed_rate_)) {
        answer.status = model::attempt_status::shed;
    } else if (!answer.versions->contains(attempt.snapshot.version)) {
        answer.status = model::attempt_status::version_unavailable;
    }
    if (answer.status != model::attempt_status::ok) {
        send_reply(from, answer);
        return;
    }
    target.running.emplace(std::pair{from, std::pair{attempt.request, attempt.attempt}}, attempt);
    if (attempt.query == crashing_query_text) {
        schedule_after(uniform_between(0.2, 1), [this, index] {
            if (clock_.now() >= servers_[index].down_until) {
                ++report_.crashes;
                crash(index);
            }
        });
        return;
    }
    // Fault: the backend server replies with records of a newer version than requested.
    if (fault_occurs(0.005)) {
        answer.version = {target.newest};
    }
    answer.records = records_of({attempt.snapshot.map_revision, answer.version},
                                shard_number(attempt.shard), attempt.request);
    const double slow_factor = clock_.now() < target.slow_until ? 10 : 1;
    schedule_after(slow_factor * uniform_between(1, 4), [this, index, from, answer] {
        if (servers_[index].running.erase({from, {answer.request, answer.attempt}}) > 0) {
            send_reply(from, answer);
        }
    });
}

void simulation::crash(std::size_t index) {
    auto& target = servers_[index];
    target.down_until = clock_.now() + 300ms;
    for (const auto& [key, attempt] : std::exchange(target.running, {})) {
        const auto lost = reply_to(attempt, model::attempt_status::connection_lost);
        schedule_after(uniform_between(0.1, 0.3),
                       [this, to = key.first, lost] { deliver_reply(to, lost); });
    }
}

void simulation::send_reply(std::size_t to, const model::attempt_reply& reply) {
    if (fault_occurs(0.003)) {
        return;
    }
    const auto send_after = [this, to, reply](double delay) {
        schedule_after(delay, [this, to, reply] { deliver_reply(to, reply); });
    };
    send_after(uniform_between(0.1, 0.5));
    if (fault_occurs(0.01)) {
        send_after(uniform_between(0.1, 40));
    }
}

void simulation::deliver_reply(std::size_t to, const model::attempt_reply& reply) {
    run_on_instance(to, [this, to, reply] {
        auto& simulated = *instances_[to];
        const batch_key key{reply.request, reply.attempt >> attempt_bits_per_batch};
        // Fault: the reply was sent on the wrong connection and reaches another open call.
        const auto other =
            std::find_if(simulated.calls.begin(), simulated.calls.end(), [&](const auto& it) {
                return !it.second.replied && it.first.second == key.second && it.first != key;
            });
        if (other != simulated.calls.end() && fault_occurs(0.05)) {
            other->second.call->on_reply(reply);
            advance_call(to, batch_key{other->first});
        }
        if (const auto it = simulated.calls.find(key); it != simulated.calls.end()) {
            it->second.call->on_reply(reply);
            advance_call(to, key);
        }
        announce_quarantine(to);
    });
}

void simulation::advance_call(std::size_t index, const batch_key& key) {
    auto& open = instances_[index]->calls.at(key);
    if (open.replied) {
        return;
    }
    if (!open.call->result()) {
        schedule_at(open.call->next_timer(), [this, index, key] {
            run_on_instance(index, [this, index, key] {
                const auto it = instances_[index]->calls.find(key);
                if (it != instances_[index]->calls.end() && !it->second.replied &&
                    clock_.now() >= it->second.call->next_timer()) {
                    it->second.call->on_timer();
                    advance_call(index, key);
                }
            });
        });
        return;
    }
    open.replied = true;
    // The call is kept for 100 ms, so that late replies reach a call that has ended.
    schedule_after(100, [this, index, key] { instances_[index]->calls.erase(key); });
    const auto send_after = [this, to = open.entry, result = *open.call->result()](double delay) {
        schedule_after(delay, [this, to, result] {
            run_on_instance(to, [this, to, result] {
                auto& sessions = instances_[to]->sessions;
                const auto other = std::find_if(sessions.begin(), sessions.end(), [&](auto& it) {
                    return !it.second.checked && it.first != result.request;
                });
                if (other != sessions.end() && fault_occurs(0.05)) {
                    other->second.session->on_result(result);
                    advance_session(to, model::request_id{other->first});
                }
                sessions.at(result.request).session->on_result(result);
                advance_session(to, result.request);
                announce_quarantine(to);
            });
        });
    };
    if (!fault_occurs(result_loss_)) {
        send_after(uniform_between(0.1, 0.5));
    }
    if (fault_occurs(0.01)) {
        send_after(uniform_between(0.1, 40));
    }
}

void simulation::advance_session(std::size_t index, const model::request_id& request) {
    auto& open = instances_[index]->sessions.at(request);
    if (open.checked) {
        return;
    }
    if (open.session->answer()) {
        open.checked = true;
        check_answer(index, open);
        return;
    }
    schedule_at(open.session->next_timer(), [this, index, request] {
        run_on_instance(index, [this, index, request] {
            auto& found = instances_[index]->sessions.at(request);
            if (!found.checked && clock_.now() >= found.session->next_timer()) {
                found.session->on_timer();
                advance_session(index, request);
            }
        });
    });
}

void simulation::announce_quarantine(std::size_t index) {
    const auto changes = instances_[index]->state.quarantine.take_changes(clock_.now());
    for (std::size_t to = 0; !changes.empty() && to < instance_count; ++to) {
        schedule_after(uniform_between(0.5, 2), [this, to, changes] {
            run_on_instance(to, [this, to, changes] {
                for (const auto& it : changes) {
                    instances_[to]->state.quarantine.merge(it, clock_.now());
                }
                for (auto& [key, open] : instances_[to]->calls) {
                    open.call->on_timer();
                    advance_call(to, key);
                }
            });
        });
    }
}

void simulation::check_answer(std::size_t index, const open_session& open) {
    const auto& answer = *open.session->answer();
    const auto& map = maps_.at(answer.snapshot.map_revision.value);
    const bool own =
        answer.request == open.request.request && answer.searcher == open.request.searcher;
    std::vector<model::record> expected;
    std::vector<model::shard_ref> listed;
    for (const auto& [ref, reason] : answer.shards) {
        listed.push_back(ref);
        ++report_.shards;
        if (reason == model::missing_reason::none) {
            ++report_.covered;
            const auto part = records_of(answer.snapshot, shard_number(ref), answer.request);
            expected.insert(expected.end(), part.begin(), part.end());
        }
    }
    std::sort(expected.begin(), expected.end());
    const auto version = std::to_string(answer.snapshot.version.value) + "@";
    for (const auto& it : answer.records) {
        check_invariant(it.body.starts_with(version), "an answer does not mix index versions");
        check_invariant(it.body.ends_with("@" + answer.request.text()),
                        "an answer contains only results of its own request");
    }
    check_invariant(own, "an answer contains only results of its own request");
    check_invariant(listed == map.shards_of(open.request.services),
                    "an answer lists every relevant shard");
    check_invariant(answer.records == expected, "the records are those of the covered shards");
    const bool was_frozen = instances_[index]->frozen_until > open.started;
    check_invariant(was_frozen || clock_.now() <= open.request.deadline,
                    "answers arrive before the deadline");
    report_.complete += answer.complete() ? 1 : 0;
    report_.latencies.push_back(clock_.now() - open.started);
}

void simulation::check_extra_requests() {
    // The idle refill gives at most one token per 10 s, and a run lasts 5 s.
    constexpr double idle_tokens = 1;
    constexpr double attempt_burst = 10;
    constexpr double batch_burst = 5;
    const double ratio_factor = options_.faults ? 2 : 1;
    for (const auto& simulated : instances_) {
        check_invariant(static_cast<double>(simulated->extra_attempts) <=
                            ratio_factor * 0.04 * static_cast<double>(simulated->attempts) +
                                attempt_burst + idle_tokens,
                        "extra attempts are within the budget");
        check_invariant(static_cast<double>(simulated->extra_batches) <=
                            ratio_factor * 0.01 * static_cast<double>(simulated->batches) +
                                batch_burst + idle_tokens,
                        "resent batches are within the budget");
    }
    constexpr std::size_t max_crashes = 4;
    check_invariant(report_.crashes <= max_crashes,
                    "a crashing query crashes at most 4 backend servers");
}

}  // namespace poplarfront::routing
