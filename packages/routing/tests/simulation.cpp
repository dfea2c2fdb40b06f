#include "simulation.h"

#include <algorithm>

namespace poplarfront::routing {
namespace {

using namespace std::chrono_literals;

constexpr auto run_time = 5s;
constexpr auto query_timeout = 200ms;
constexpr std::uint32_t attempt_bits_per_batch = 18;
constexpr double lost_cancel_probability = 0.5;
constexpr double lost_reply_probability = 0.003;
constexpr double duplicate_probability = 0.01;
constexpr double misdelivery_probability = 0.05;
constexpr double newer_version_probability = 0.005;
const std::string crashing_query_text = "killer";

}  // namespace

void simulation::instance_environment::cancel(const model::instance_id& owner,
                                              const sub_query_batch& batch) {
    const auto to = instance_index(owner);
    const batch_key key{batch.request, batch.batch};
    parent.schedule_after(parent.uniform_between(0.1, 0.5), [&system = parent, to, key] {
        system.run_on_instance(to, [&system, to, key] {
            const auto it = system.instances_[to]->calls.find(key);
            if (it != system.instances_[to]->calls.end()) {
                it->second.call->cancel();
            }
        });
    });
}

model::shard_map simulation::make_map(std::uint64_t revision) {
    std::vector<model::server_info> servers;
    for (std::size_t index = 0; index < server_count; ++index) {
        servers.push_back({server(static_cast<int>(index))});
    }
    model::service_info service{shard(0).service, "", {}};
    for (int index = 0; index < shard_count(revision); ++index) {
        const auto base = index / static_cast<int>(shards_per_group) * int{servers_per_group};
        const auto first = index % int{servers_per_group};
        const auto second = (index + 1) % int{servers_per_group};
        service.shards.push_back(
            {shard(index).shard, {server(base + first), server(base + second)}});
    }
    return *model::shard_map::create({revision}, {service}, servers);
}

std::vector<model::record> simulation::records_of(const model::pinned_snapshot& snapshot,
                                                  int shard_index,
                                                  const model::request_id& request) {
    std::vector<model::record> records;
    for (int key = 0; key < key_count; ++key) {
        if (key % shard_count(snapshot.map_revision.value) == shard_index) {
            records.push_back({std::to_string(key),
                               std::to_string(snapshot.version.value) + "@" + request.text()});
        }
    }
    return records;
}

query_plan simulation::plan(std::size_t index, const model::search_request& request) {
    auto& sim_instance = *instances_[index];
    const auto& map = maps_.at(sim_instance.map_revision);
    const auto shards = map.shards_of(request.services);
    const auto version = sim_instance.state.versions.choose(map, shards);
    query_plan plan{{map.map_revision(), version.value_or(model::index_version{})}, {}};
    for (const auto& it : shards) {
        const auto group = static_cast<std::size_t>(shard_number(it)) / shards_per_group;
        plan.groups.resize(std::max(plan.groups.size(), group + 1));
        plan.groups[group].shards.push_back(it);
    }
    for (std::size_t group = 0; group < plan.groups.size(); ++group) {
        for (std::size_t offset = 0; offset < instance_count; ++offset) {
            const auto owner = (group + offset) % instance_count;
            if (!sim_instance.lost_peers.contains(owner)) {
                plan.groups[group].owners.push_back(instance(static_cast<int>(owner)));
            }
        }
    }
    return plan;
}

void simulation::schedule_faults() {
    // Not a fault: the backend servers load a new index version every 85 ms, within 15 ms of each
    // other.
    for (std::uint64_t version = 4; version < 60; ++version) {
        for (std::size_t index = 0; index < server_count; ++index) {
            const auto when = 85.0 * static_cast<double>(version - 3) + uniform_between(0, 15);
            schedule_after(when, [this, index, version] { servers_[index].newest = version; });
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
        schedule_after(3300, [this] { shed_rate_ = base_shed_rate; });
    }
    if (is_scheduled(simulated_fault::lost_results)) {
        schedule_after(2800, [this] { result_loss_ = 0.3; });
        schedule_after(3300, [this] { result_loss_ = base_result_loss; });
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
    for (int index = 0; is_scheduled(simulated_fault::crashing_query) && index < 5; ++index) {
        schedule_after(200 + 250 * index + uniform_between(0, 100),
                       [this] { submit(random_.next() % instance_count, crashing_query_text); });
    }
}

void simulation::schedule_drain() {
    const auto draining = random_.next() % server_count;
    schedule_after(uniform_between(500, 1500), [this, draining] {
        servers_[draining].drain_notice = clock_.now();
        for (std::size_t index = 0; index < instance_count; ++index) {
            schedule_after(uniform_between(0, 1500), [this, index, draining] {
                run_on_instance(index, [this, index, draining] {
                    instances_[index]->state.replicas.mark_draining(
                        server(static_cast<int>(draining)), clock_.now());
                });
            });
        }
    });
}

void simulation::schedule_repartition() {
    const auto repartition = uniform_between(1600, 2400);
    for (std::size_t index = 0; index < server_count; ++index) {
        schedule_after(repartition + uniform_between(0, 20),
                       [this, index] { servers_[index].map_revision = 2; });
    }
    for (std::size_t index = 0; index < instance_count; ++index) {
        schedule_after(repartition + uniform_between(0, 30),
                       [this, index] { instances_[index]->map_revision = 2; });
    }
}

void simulation::schedule_lost_instance() {
    const auto lost = random_.next() % instance_count;
    schedule_after(uniform_between(3500, 3900), [this, lost] {
        instances_[lost]->frozen_until = kernel::time_point::max();
        for (std::size_t index = 0; index < instance_count; ++index) {
            schedule_after(uniform_between(600, 900), [this, index, lost] {
                instances_[index]->lost_peers.insert(lost);
                for (auto& [request, record] : instances_[index]->sessions) {
                    record.session->on_owner_lost(instance(static_cast<int>(lost)));
                    check_or_schedule_timer(index, request);
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
    for (const auto& sim_instance : instances_) {
        for (const auto& [request, record] : sim_instance->sessions) {
            const bool lost = sim_instance->frozen_until == kernel::time_point::max();
            check_invariant(record.checked || lost, "every query is answered");
        }
        const auto& counters = sim_instance->state.counters;
        report_.counters.hedges += counters.hedges;
        report_.counters.retries += counters.retries;
        report_.counters.dropped_replies += counters.dropped_replies;
        report_.counters.batch_resends += counters.batch_resends;
        report_.counters.restarts += counters.restarts;
        report_.counters.canaries += counters.canaries;
    }
    check_run_limits();
    return std::move(report_);
}

void simulation::submit(std::size_t index, const std::string& query) {
    run_on_instance(index, [this, index, query] {
        auto& sim_instance = *instances_[index];
        const auto id = model::request_id::trusted("r" + std::to_string(next_request_++));
        const bool use_first_searcher = query == crashing_query_text || next_request_ % 2 == 0;
        const auto searcher = model::searcher_id::trusted(use_first_searcher ? "mill" : "barn");
        auto& record = sim_instance.sessions[id];
        record.started = clock_.now();
        record.request = {id, searcher, {shard(0).service}, query, clock_.now() + query_timeout};
        record.session = std::make_unique<session_type>(clock_, sim_instance.environment,
                                                        sim_instance.state.context(),
                                                        sim_instance.environment, record.request);
        record.session->start();
        check_or_schedule_timer(index, id);
    });
}

void simulation::send_batch(std::size_t from, const model::instance_id& owner,
                            const sub_query_batch& batch) {
    auto& sender = *instances_[from];
    bool is_new = true;
    for (const auto& it : batch.shards) {
        is_new =
            shards_sent_in_batches_.emplace(batch.request, batch.snapshot, it).second && is_new;
    }
    ++(is_new ? sender.batches : sender.extra_batches);
    const auto to = instance_index(owner);
    schedule_after(uniform_between(0.1, 0.5), [this, from, to, batch] {
        run_on_instance(to, [this, from, to, batch] {
            auto& sim_instance = *instances_[to];
            const auto& map = maps_.at(sim_instance.map_revision);
            const auto replicas_of = [&](const model::shard_ref& ref) {
                const auto* info = map.find_shard(ref);
                return info == nullptr ? std::vector<model::server_id>{} : info->replicas;
            };
            const batch_key key{batch.request, batch.batch};
            auto& record = sim_instance.calls[key];
            record.entry_instance = from;
            record.call = std::make_unique<batch_type>(
                clock_, sim_instance.environment, sim_instance.state.context(), batch, replicas_of);
            record.call->start();
            reply_or_schedule_timer(to, key);
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
    const bool primary = attempted_batch_shards_.emplace(from, batch, attempt.shard).second;
    ++(primary ? instances_[from]->attempts : instances_[from]->extra_attempts);
    const bool first =
        attempted_shards_.emplace(attempt.request, attempt.snapshot, attempt.shard).second;
    ++(first ? report_.primaries : report_.extra);
    schedule_after(uniform_between(0.1, 0.5), [this, from, attempt] { execute(from, attempt); });
}

void simulation::cancel_attempt(std::size_t from, const model::shard_attempt& attempt) {
    // Fault: half of the cancels are lost, so that replies to cancelled attempts arrive.
    if (!fault_occurs(lost_cancel_probability)) {
        servers_[server_index(attempt.server)].running.erase(
            {from, {attempt.request, attempt.attempt}});
    }
}

void simulation::execute(std::size_t from, const model::shard_attempt& attempt) {
    const auto index = server_index(attempt.server);
    auto& target = servers_[index];
    auto reply = reply_to(attempt, model::attempt_status::ok);
    reply.versions = model::version_range{{target.newest - 2}, {target.newest}};
    if (clock_.now() < target.down_until) {
        reply.status = model::attempt_status::not_sent;
        reply.versions.reset();
    } else if (target.drain_notice <= clock_.now()) {
        reply.status = model::attempt_status::draining;
    } else if (target.map_revision != attempt.snapshot.map_revision.value) {
        reply.status = model::attempt_status::wrong_map;
    } else if (fault_occurs(shed_rate_)) {
        reply.status = model::attempt_status::shed;
    } else if (!reply.versions->contains(attempt.snapshot.version)) {
        reply.status = model::attempt_status::version_unavailable;
    }
    if (reply.status != model::attempt_status::ok) {
        send_reply(from, reply);
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
    if (fault_occurs(newer_version_probability)) {
        reply.version = {target.newest};
    }
    reply.records = records_of({attempt.snapshot.map_revision, reply.version},
                               shard_number(attempt.shard), attempt.request);
    const double slow_factor = clock_.now() < target.slow_until ? 10 : 1;
    schedule_after(slow_factor * uniform_between(1, 4), [this, index, from, reply] {
        if (servers_[index].running.erase({from, {reply.request, reply.attempt}}) > 0) {
            send_reply(from, reply);
        }
    });
}

void simulation::crash(std::size_t crashed_server) {
    auto& target = servers_[crashed_server];
    target.down_until = clock_.now() + 300ms;
    for (const auto& [key, attempt] : std::exchange(target.running, {})) {
        const auto lost = reply_to(attempt, model::attempt_status::connection_lost);
        schedule_after(uniform_between(0.1, 0.3),
                       [this, to = key.first, lost] { deliver_reply(to, lost); });
    }
}

void simulation::send_reply(std::size_t to, const model::attempt_reply& reply) {
    if (fault_occurs(lost_reply_probability)) {
        return;
    }
    const auto send_after = [this, to, reply](double delay) {
        schedule_after(delay, [this, to, reply] { deliver_reply(to, reply); });
    };
    send_after(uniform_between(0.1, 0.5));
    if (fault_occurs(duplicate_probability)) {
        send_after(uniform_between(0.1, 40));
    }
}

void simulation::deliver_reply(std::size_t to, const model::attempt_reply& reply) {
    run_on_instance(to, [this, to, reply] {
        auto& sim_instance = *instances_[to];
        const batch_key key{reply.request, reply.attempt >> attempt_bits_per_batch};
        // Fault: as if sent on a wrong connection, the reply also reaches another open call with
        // the same batch number.
        const auto other =
            std::find_if(sim_instance.calls.begin(), sim_instance.calls.end(), [&](const auto& it) {
                return !it.second.replied && it.first.second == key.second && it.first != key;
            });
        if (other != sim_instance.calls.end() && fault_occurs(misdelivery_probability)) {
            other->second.call->on_reply(reply);
            reply_or_schedule_timer(to, batch_key{other->first});
        }
        if (const auto it = sim_instance.calls.find(key); it != sim_instance.calls.end()) {
            it->second.call->on_reply(reply);
            reply_or_schedule_timer(to, key);
        }
        announce_quarantine(to);
    });
}

void simulation::reply_or_schedule_timer(std::size_t index, const batch_key& key) {
    auto& record = instances_[index]->calls.at(key);
    if (record.replied) {
        return;
    }
    if (!record.call->result()) {
        schedule_at(record.call->next_timer(), [this, index, key] {
            run_on_instance(index, [this, index, key] {
                const auto it = instances_[index]->calls.find(key);
                if (it != instances_[index]->calls.end() && !it->second.replied &&
                    clock_.now() >= it->second.call->next_timer()) {
                    it->second.call->on_timer();
                    reply_or_schedule_timer(index, key);
                }
            });
        });
        return;
    }
    record.replied = true;
    // The call is kept for 100 ms, so that late replies reach a call that has ended.
    schedule_after(100, [this, index, key] { instances_[index]->calls.erase(key); });
    const auto send_after = [this, to = record.entry_instance,
                             result = *record.call->result()](double delay) {
        schedule_after(delay, [this, to, result] {
            run_on_instance(to, [this, to, result] {
                auto& sessions = instances_[to]->sessions;
                // Fault: the result also reaches another open session.
                const auto other = std::find_if(sessions.begin(), sessions.end(), [&](auto& it) {
                    return !it.second.checked && it.first != result.request;
                });
                if (other != sessions.end() && fault_occurs(misdelivery_probability)) {
                    other->second.session->on_result(result);
                    check_or_schedule_timer(to, model::request_id{other->first});
                }
                sessions.at(result.request).session->on_result(result);
                check_or_schedule_timer(to, result.request);
                announce_quarantine(to);
            });
        });
    };
    if (!fault_occurs(result_loss_)) {
        send_after(uniform_between(0.1, 0.5));
    }
    if (fault_occurs(duplicate_probability)) {
        send_after(uniform_between(0.1, 40));
    }
}

void simulation::check_or_schedule_timer(std::size_t index, const model::request_id& request) {
    auto& record = instances_[index]->sessions.at(request);
    if (record.checked) {
        return;
    }
    if (record.session->answer()) {
        record.checked = true;
        check_answer(index, record);
        return;
    }
    schedule_at(record.session->next_timer(), [this, index, request] {
        run_on_instance(index, [this, index, request] {
            auto& found = instances_[index]->sessions.at(request);
            if (!found.checked && clock_.now() >= found.session->next_timer()) {
                found.session->on_timer();
                check_or_schedule_timer(index, request);
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
                for (auto& [key, record] : instances_[to]->calls) {
                    record.call->on_timer();
                    reply_or_schedule_timer(to, key);
                }
            });
        });
    }
}

void simulation::check_answer(std::size_t index, const session_record& record) {
    const auto& answer = *record.session->answer();
    const auto& map = maps_.at(answer.snapshot.map_revision.value);
    const bool matches_request =
        answer.request == record.request.request && answer.searcher == record.request.searcher;
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
    check_invariant(matches_request, "an answer contains only results of its own request");
    check_invariant(listed == map.shards_of(record.request.services),
                    "an answer lists every relevant shard");
    check_invariant(answer.records == expected, "the records are those of the covered shards");
    const bool was_frozen = instances_[index]->frozen_until > record.started;
    check_invariant(was_frozen || clock_.now() <= record.request.deadline,
                    "answers arrive before the deadline");
    report_.complete += answer.complete() ? 1 : 0;
    report_.latencies.push_back(clock_.now() - record.started);
}

void simulation::check_run_limits() {
    // The ratios are those of attempt_budget_options() and batch_budget_options(), which double
    // within the fault window. The idle refill gives at most one token per 10 s, and a run lasts
    // 5 s.
    constexpr double idle_tokens = 1;
    constexpr double attempt_burst = 10;
    constexpr double batch_burst = 5;
    const double ratio_factor = options_.faults ? 2 : 1;
    for (const auto& sim_instance : instances_) {
        check_invariant(static_cast<double>(sim_instance->extra_attempts) <=
                            ratio_factor * 0.04 * static_cast<double>(sim_instance->attempts) +
                                attempt_burst + idle_tokens,
                        "extra attempts are within the budget");
        check_invariant(static_cast<double>(sim_instance->extra_batches) <=
                            ratio_factor * 0.01 * static_cast<double>(sim_instance->batches) +
                                batch_burst + idle_tokens,
                        "resent batches are within the budget");
    }
    constexpr std::size_t max_crashes = 4;
    check_invariant(report_.crashes <= max_crashes, "a crashing query causes at most 4 crashes");
}

}  // namespace poplarfront::routing
