#include "simulation.h"

#include <algorithm>

namespace poplarfront::routing {
namespace {

using namespace std::chrono_literals;

constexpr auto run_time = 5s;
constexpr auto query_deadline = 200ms;
constexpr std::uint32_t attempt_bits_per_batch = 18;
const std::string killer = "killer";

}  // namespace

void simulation::node_ports::cancel(const model::instance_id& owner, const sub_query_batch& batch) {
    const auto to = node_index(owner);
    const batch_key key{batch.request, batch.batch};
    world.after(world.between(0.1, 0.5), [&target = world, to, key] {
        target.on_node(to, [&target, to, key] {
            const auto it = target.nodes_[to]->calls.find(key);
            if (it != target.nodes_[to]->calls.end()) {
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

std::vector<model::record> simulation::records_of(const model::pinned_snapshot& snapshot,
                                                  int number, const model::request_id& request) {
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
    auto& node = *nodes_[index];
    const auto& map = maps_.at(node.known_map);
    const auto shards = map.shards_of(request.services);
    const auto version = node.shared.versions.choose(map, shards);
    query_plan plan{{map.map_revision(), version.value_or(model::index_version{})}, {}};
    for (const auto& it : shards) {
        const auto group = static_cast<std::size_t>(shard_number(it)) / shards_per_group;
        plan.groups.resize(std::max(plan.groups.size(), group + 1));
        plan.groups[group].shards.push_back(it);
    }
    for (std::size_t group = 0; group < plan.groups.size(); ++group) {
        for (std::size_t it = 0; it < instance_count; ++it) {
            const auto owner = (group + it) % instance_count;
            if (!node.lost_peers.contains(owner)) {
                plan.groups[group].owners.push_back(instance(static_cast<int>(owner)));
            }
        }
    }
    return plan;
}

void simulation::schedule_faults() {
    for (std::uint64_t version = 4; version < 60; ++version) {
        for (std::size_t it = 0; it < server_count; ++it) {
            const auto when = 85.0 * static_cast<double>(version - 3) + between(0, 15);
            after(when, [this, it, version] { servers_[it].newest = version; });
        }
    }
    if (options_.straggler) {
        servers_[4].slow_until = kernel::time_point::max();
    }
    if (!options_.faults) {
        return;
    }
    if (scheduled(simulated_fault::slow_server)) {
        const auto slow = random_.next() % server_count;
        after(between(300, 900), [this, slow] { servers_[slow].slow_until = clock_.now() + 1s; });
    }
    if (scheduled(simulated_fault::draining_server)) {
        schedule_drain();
    }
    if (scheduled(simulated_fault::repartition)) {
        schedule_repartition();
    }
    if (scheduled(simulated_fault::shedding)) {
        after(2800, [this] { shed_rate_ = 0.3; });
        after(3300, [this] { shed_rate_ = 0.005; });
    }
    if (scheduled(simulated_fault::lost_results)) {
        after(2800, [this] { result_loss_ = 0.3; });
        after(3300, [this] { result_loss_ = 0.003; });
    }
    if (scheduled(simulated_fault::frozen_instance)) {
        const auto frozen = random_.next() % instance_count;
        after(between(2500, 3000),
              [this, frozen] { nodes_[frozen]->frozen_until = clock_.now() + 250ms; });
    }
    if (scheduled(simulated_fault::lost_instance)) {
        schedule_lost_instance();
    }
    if (scheduled(simulated_fault::crashed_server)) {
        const auto dying = random_.next() % server_count;
        after(between(4200, 4600), [this, dying] { crash(dying); });
    }
    for (int it = 0; scheduled(simulated_fault::crashing_query) && it < 5; ++it) {
        after(200 + 250 * it + between(0, 100),
              [this] { submit(random_.next() % instance_count, killer); });
    }
}

void simulation::schedule_drain() {
    const auto draining = random_.next() % server_count;
    after(between(500, 1500), [this, draining] {
        servers_[draining].drain_notice = clock_.now();
        for (std::size_t it = 0; it < instance_count; ++it) {
            after(between(0, 1500), [this, it, draining] {
                on_node(it, [this, it, draining] {
                    nodes_[it]->shared.replicas.mark_draining(server(static_cast<int>(draining)),
                                                              clock_.now());
                });
            });
        }
    });
}

void simulation::schedule_repartition() {
    const auto repartition = between(1600, 2400);
    for (std::size_t it = 0; it < server_count; ++it) {
        after(repartition + between(0, 20), [this, it] { servers_[it].map = 2; });
    }
    for (std::size_t it = 0; it < instance_count; ++it) {
        after(repartition + between(0, 30), [this, it] { nodes_[it]->known_map = 2; });
    }
}

void simulation::schedule_lost_instance() {
    const auto lost = random_.next() % instance_count;
    after(between(3500, 3900), [this, lost] {
        nodes_[lost]->frozen_until = kernel::time_point::max();
        for (std::size_t it = 0; it < instance_count; ++it) {
            after(between(600, 900), [this, it, lost] {
                nodes_[it]->lost_peers.insert(lost);
                for (auto& [request, open] : nodes_[it]->sessions) {
                    open.session->on_owner_lost(instance(static_cast<int>(lost)));
                    settle_session(it, request);
                }
            });
        }
    });
}

void simulation::schedule_queries() {
    for (double when = 10; when < 4700; when += between(4, 12)) {
        after(when, [this] {
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
    for (const auto& node : nodes_) {
        for (const auto& [request, open] : node->sessions) {
            const bool lost = node->frozen_until == kernel::time_point::max();
            require(open.checked || lost, "every query is answered");
        }
        const auto& counters = node->shared.counters;
        report_.counters.hedges += counters.hedges;
        report_.counters.retries += counters.retries;
        report_.counters.dropped_replies += counters.dropped_replies;
        report_.counters.batch_resends += counters.batch_resends;
        report_.counters.restarts += counters.restarts;
        report_.counters.canaries += counters.canaries;
    }
    check_load();
    return std::move(report_);
}

void simulation::submit(std::size_t index, const std::string& query) {
    on_node(index, [this, index, query] {
        auto& node = *nodes_[index];
        const auto id = model::request_id::trusted("r" + std::to_string(next_request_++));
        const bool first = query == killer || next_request_ % 2 == 0;
        const auto searcher = model::searcher_id::trusted(first ? "mill" : "barn");
        auto& open = node.sessions[id];
        open.started = clock_.now();
        open.request = {id, searcher, {shard(0).service}, query, clock_.now() + query_deadline};
        open.session = std::make_unique<session_type>(clock_, node.ports, node.shared.context(),
                                                      node.ports, open.request);
        open.session->start();
        settle_session(index, id);
    });
}

void simulation::send_batch(std::size_t from, const model::instance_id& owner,
                            const sub_query_batch& batch) {
    auto& sender = *nodes_[from];
    bool is_new = true;
    for (const auto& it : batch.shards) {
        is_new = seen_batches_.emplace(batch.request, batch.snapshot, it).second && is_new;
    }
    ++(is_new ? sender.batches : sender.extra_batches);
    const auto to = node_index(owner);
    after(between(0.1, 0.5), [this, from, to, batch] {
        on_node(to, [this, from, to, batch] {
            auto& node = *nodes_[to];
            const auto& map = maps_.at(node.known_map);
            const auto replicas_of = [&](const model::shard_ref& ref) {
                const auto* info = map.find_shard(ref);
                return info == nullptr ? std::vector<model::server_id>{} : info->replicas;
            };
            const batch_key key{batch.request, batch.batch};
            auto& open = node.calls[key];
            open.entry = from;
            open.call = std::make_unique<batch_type>(clock_, node.ports, node.shared.context(),
                                                     batch, replicas_of);
            open.call->start();
            settle_call(to, key);
        });
    });
}

void simulation::arrive(std::size_t from, const model::shard_attempt& attempt) {
    auto& target = servers_[server_index(attempt.server)];
    if (target.drain_notice != kernel::time_point::max()) {
        require(clock_.now() <= target.drain_notice + 2s, "no new work 2 s after a drain notice");
    }
    const batch_key batch{attempt.request, attempt.attempt >> attempt_bits_per_batch};
    const bool primary = seen_attempts_.emplace(from, batch, attempt.shard).second;
    ++(primary ? nodes_[from]->attempts : nodes_[from]->extra_attempts);
    const bool first =
        seen_shards_.emplace(attempt.request, attempt.snapshot, attempt.shard).second;
    ++(first ? report_.primaries : report_.extra);
    after(between(0.1, 0.5), [this, from, attempt] { execute(from, attempt); });
}

void simulation::cancel_attempt(std::size_t from, const model::shard_attempt& attempt) {
    // Half of the cancels arrive too late, so that replies to closed attempts occur.
    if (!fault(0.5)) {
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
    } else if (target.map != attempt.snapshot.map_revision.value) {
        answer.status = model::attempt_status::wrong_map;
    } else if (fault(shed_rate_)) {
        answer.status = model::attempt_status::shed;
    } else if (!answer.versions->contains(attempt.snapshot.version)) {
        answer.status = model::attempt_status::version_unavailable;
    }
    if (answer.status != model::attempt_status::ok) {
        reply(from, answer);
        return;
    }
    target.running.emplace(std::pair{from, std::pair{attempt.request, attempt.attempt}}, attempt);
    if (attempt.query == killer) {
        after(between(0.2, 1), [this, index] {
            if (clock_.now() >= servers_[index].down_until) {
                ++report_.crashes;
                crash(index);
            }
        });
        return;
    }
    // A backend server that replies from a newer version than it was asked for.
    if (fault(0.005)) {
        answer.version = {target.newest};
    }
    answer.records = records_of({attempt.snapshot.map_revision, answer.version},
                                shard_number(attempt.shard), attempt.request);
    const double slowness = clock_.now() < target.slow_until ? 10 : 1;
    after(slowness * between(1, 4), [this, index, from, answer] {
        if (servers_[index].running.erase({from, {answer.request, answer.attempt}}) > 0) {
            reply(from, answer);
        }
    });
}

void simulation::crash(std::size_t index) {
    auto& target = servers_[index];
    target.down_until = clock_.now() + 300ms;
    for (const auto& [key, attempt] : std::exchange(target.running, {})) {
        const auto lost = reply_to(attempt, model::attempt_status::connection_lost);
        after(between(0.1, 0.3), [this, to = key.first, lost] { deliver(to, lost); });
    }
}

void simulation::reply(std::size_t to, const model::attempt_reply& reply) {
    if (fault(0.003)) {
        return;
    }
    const auto transfer = [this, to, reply](double delay) {
        after(delay, [this, to, reply] { deliver(to, reply); });
    };
    transfer(between(0.1, 0.5));
    if (fault(0.01)) {
        transfer(between(0.1, 40));
    }
}

void simulation::deliver(std::size_t to, const model::attempt_reply& reply) {
    on_node(to, [this, to, reply] {
        auto& node = *nodes_[to];
        const batch_key key{reply.request, reply.attempt >> attempt_bits_per_batch};
        // A reply that was put on the wrong connection reaches another open call.
        const auto other = std::find_if(node.calls.begin(), node.calls.end(), [&](const auto& it) {
            return !it.second.replied && it.first.second == key.second && it.first != key;
        });
        if (other != node.calls.end() && fault(0.05)) {
            other->second.call->on_reply(reply);
            settle_call(to, batch_key{other->first});
        }
        if (const auto it = node.calls.find(key); it != node.calls.end()) {
            it->second.call->on_reply(reply);
            settle_call(to, key);
        }
        spread_quarantine(to);
    });
}

void simulation::settle_call(std::size_t index, const batch_key& key) {
    auto& open = nodes_[index]->calls.at(key);
    if (open.replied) {
        return;
    }
    if (!open.call->result()) {
        at(open.call->next_timer(), [this, index, key] {
            on_node(index, [this, index, key] {
                const auto it = nodes_[index]->calls.find(key);
                if (it != nodes_[index]->calls.end() && !it->second.replied &&
                    clock_.now() >= it->second.call->next_timer()) {
                    it->second.call->on_timer();
                    settle_call(index, key);
                }
            });
        });
        return;
    }
    open.replied = true;
    // Kept for a while, so that late replies reach an ended call.
    after(100, [this, index, key] { nodes_[index]->calls.erase(key); });
    const auto transfer = [this, to = open.entry, result = *open.call->result()](double delay) {
        after(delay, [this, to, result] {
            on_node(to, [this, to, result] {
                auto& sessions = nodes_[to]->sessions;
                const auto other = std::find_if(sessions.begin(), sessions.end(), [&](auto& it) {
                    return !it.second.checked && it.first != result.request;
                });
                if (other != sessions.end() && fault(0.05)) {
                    other->second.session->on_result(result);
                    settle_session(to, model::request_id{other->first});
                }
                sessions.at(result.request).session->on_result(result);
                settle_session(to, result.request);
                spread_quarantine(to);
            });
        });
    };
    if (!fault(result_loss_)) {
        transfer(between(0.1, 0.5));
    }
    if (fault(0.01)) {
        transfer(between(0.1, 40));
    }
}

void simulation::settle_session(std::size_t index, const model::request_id& request) {
    auto& open = nodes_[index]->sessions.at(request);
    if (open.checked) {
        return;
    }
    if (open.session->answer()) {
        open.checked = true;
        check(index, open);
        return;
    }
    at(open.session->next_timer(), [this, index, request] {
        on_node(index, [this, index, request] {
            auto& found = nodes_[index]->sessions.at(request);
            if (!found.checked && clock_.now() >= found.session->next_timer()) {
                found.session->on_timer();
                settle_session(index, request);
            }
        });
    });
}

void simulation::spread_quarantine(std::size_t index) {
    const auto changes = nodes_[index]->shared.quarantine.take_changes(clock_.now());
    for (std::size_t to = 0; !changes.empty() && to < instance_count; ++to) {
        after(between(0.5, 2), [this, to, changes] {
            on_node(to, [this, to, changes] {
                for (const auto& it : changes) {
                    nodes_[to]->shared.quarantine.merge(it, clock_.now());
                }
                for (auto& [key, open] : nodes_[to]->calls) {
                    open.call->on_timer();
                    settle_call(to, key);
                }
            });
        });
    }
}

void simulation::check(std::size_t index, const open_session& open) {
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
        require(it.body.starts_with(version), "never a mix of versions");
        require(it.body.ends_with("@" + answer.request.text()), "only the own answer");
    }
    require(own, "only the own answer");
    require(listed == map.shards_of(open.request.services), "coverage is stated truthfully");
    require(answer.records == expected, "the records are those of the covered shards");
    const bool was_frozen = nodes_[index]->frozen_until > open.started;
    require(was_frozen || clock_.now() <= open.request.deadline,
            "answers arrive before the deadline");
    report_.complete += answer.complete() ? 1 : 0;
    report_.latencies.push_back(clock_.now() - open.started);
}

void simulation::check_load() {
    // Idle refill: one token per 10 s at most.
    constexpr double idle = 1;
    constexpr double attempt_burst = 10;
    constexpr double batch_burst = 5;
    const double part = options_.faults ? 2 : 1;
    for (const auto& node : nodes_) {
        require(static_cast<double>(node->extra_attempts) <=
                    part * 0.04 * static_cast<double>(node->attempts) + attempt_burst + idle,
                "extra attempts are within the budget");
        require(static_cast<double>(node->extra_batches) <=
                    part * 0.01 * static_cast<double>(node->batches) + batch_burst + idle,
                "resent batches are within the budget");
    }
    constexpr std::size_t crashes_per_killer = 4;
    require(report_.crashes <= crashes_per_killer, "a killer query crashes few backend servers");
}

}  // namespace poplarfront::routing
