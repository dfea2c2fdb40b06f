#pragma once

#include "bench/tier.h"

namespace poplarfront::bench {

template <search_policy Policy>
void tier<Policy>::arrive(std::size_t preferred, query_state query) {
    auto index = preferred;
    while (instances_[index]->leaving) {
        index = (index + 1) % instances_.size();
    }
    const auto id = ++last_query_;
    query.request.request = model::request_id::trusted("r" + std::to_string(id));
    query.arrived = now();
    query.request.deadline = now() + from_ms(options_.work.deadline_ms);
    query.attempts.resize(static_cast<std::size_t>(options_.work.shards));
    result_.queries += query.measured ? 1 : 0;
    if (query.in_surge) {
        ++surge_offered_[static_cast<std::size_t>(query.searcher)];
    }
    const auto& request = queries_.emplace(id, std::move(query)).first->second.request;
    auto& instance = *instances_[index];
    instance.gate.on_request(request.searcher, request.services, {id, request.deadline});
    watch_gate(index);
}

template <search_policy Policy>
void tier<Policy>::watch_gate(std::size_t index) {
    const auto when = instances_[index]->gate.next_timer();
    if (when == kernel::time_point::max()) {
        return;
    }
    events_.at(when, [this, index] {
        auto& gate = instances_[index]->gate;
        if (now() >= gate.next_timer()) {
            gate.on_timer();
        }
    });
}

template <search_policy Policy>
void tier<Policy>::start_query(std::size_t index, std::uint64_t query) {
    // Decisions of a gate must not call it, so the query starts in an event of its own.
    events_.after(0, [this, index, query] {
        auto& instance = *instances_[index];
        auto& found = queries_.at(query);
        found.started = now();
        auto& session = instance.sessions[query];
        session = std::make_unique<session_type>(clock(), instance.own_ports, instance.context(),
                                                 instance.own_ports, found.request);
        session->start();
        settle_query(index, query);
    });
}

template <search_policy Policy>
void tier<Policy>::refuse_query(const admission::refusal& refused) {
    auto& found = queries_.at(refused.id);
    found.refused = true;
    require(!found.executed, "a request refused as not run did not run");
    if (found.measured) {
        ++result_.refused;
        ++result_.refusals[found.request.searcher.text() + " " +
                           std::string{admission::to_string(refused.reason)}];
    }
}

template <search_policy Policy>
void tier<Policy>::settle_query(std::size_t index, std::uint64_t query) {
    auto& sessions = instances_[index]->sessions;
    const auto it = sessions.find(query);
    if (it == sessions.end()) {
        return;
    }
    if (it->second->answer()) {
        end_query(index, query);
        return;
    }
    events_.at(it->second->next_timer(), [this, index, query] {
        auto& open = instances_[index]->sessions;
        const auto found = open.find(query);
        if (found != open.end() && now() >= found->second->next_timer()) {
            found->second->on_timer();
            settle_query(index, query);
        }
    });
}

template <search_policy Policy>
void tier<Policy>::end_query(std::size_t index, std::uint64_t query) {
    auto& instance = *instances_[index];
    auto& found = queries_.at(query);
    const auto answer = *instance.sessions.at(query)->answer();
    check(found, answer);
    found.ended = true;
    const bool shed = std::any_of(answer.shards.begin(), answer.shards.end(), [](const auto& it) {
        return it.reason == model::missing_reason::shed;
    });
    instance.sessions.erase(query);
    instance.gate.on_end({now() - found.started, shed});
    watch_gate(index);
    if (found.in_surge && answer.complete()) {
        ++surge_complete_[static_cast<std::size_t>(found.searcher)];
    }
    if (!found.measured) {
        return;
    }
    const double to_clients = 2 * options_.work.to_clients_ms;
    latencies_.push_back(to_ms(now() - found.arrived) + to_clients);
    result_.complete += answer.complete() ? 1 : 0;
    result_.shards += answer.shards.size();
    for (const auto& it : answer.shards) {
        if (it.reason == model::missing_reason::none) {
            ++result_.covered;
        } else {
            ++result_.missing[std::string{model::to_string(it.reason)}];
        }
    }
}

template <search_policy Policy>
void tier<Policy>::check(const query_state& query, const model::search_answer& answer) {
    const bool own =
        answer.request == query.request.request && answer.searcher == query.request.searcher;
    require(own, "only the own answer");
    require(now() <= query.request.deadline, "answers arrive before the deadline");
    std::vector<model::shard_ref> listed;
    std::vector<model::record> expected;
    for (const auto& [shard, reason] : answer.shards) {
        listed.push_back(shard);
        if (reason == model::missing_reason::none) {
            const auto part = records_of(answer.snapshot, shard, query.request.request);
            expected.insert(expected.end(), part.begin(), part.end());
        }
    }
    std::sort(expected.begin(), expected.end());
    const auto version = std::to_string(answer.snapshot.version.value) + "@";
    for (const auto& it : answer.records) {
        require(it.body.starts_with(version), "never a mix of versions");
        require(it.body.ends_with("@" + query.request.request.text()), "only the own answer");
    }
    const auto& map = maps_.at(answer.snapshot.map_revision.value);
    require(listed == map.shards_of(query.request.services), "coverage is stated truthfully");
    require(answer.records == expected, "the records are those of the covered shards");
}

template <search_policy Policy>
routing::query_plan tier<Policy>::plan(std::size_t index, const model::search_request& request) {
    constexpr std::size_t max_owners = 4;
    auto& instance = *instances_[index];
    const auto& map = maps_.at(instance.map);
    const auto shards = map.shards_of(request.services);
    const auto version = instance.versions.choose(map, shards);
    routing::query_plan plan{{map.map_revision(), version.value_or(model::index_version{})}, {}};
    std::map<std::size_t, std::vector<model::shard_ref>> by_group;
    for (const auto& shard : shards) {
        by_group[instance.ownership->group_of(shard).value_or(0)].push_back(shard);
    }
    const auto self = instance_named(index);
    for (auto& [group, members] : by_group) {
        const auto known = instance.ownership->owners(group);
        std::vector<model::instance_id> owners{known.begin(), known.end()};
        std::stable_partition(owners.begin(), owners.end(),
                              [&](const auto& it) { return it == self; });
        if constexpr (!Policy::resends) {
            owners = {self};
        }
        owners.resize(std::min(owners.size(), max_owners));
        plan.groups.push_back({std::move(members), std::move(owners)});
    }
    return plan;
}

template <search_policy Policy>
void tier<Policy>::send_batch(std::size_t from, const model::instance_id& owner,
                              const routing::sub_query_batch& batch) {
    const auto to = index_of(owner.text());
    events_.after(from == to ? 0 : delay_ms(from, to),
                  [this, from, to, batch] { start_batch(to, from, batch); });
}

template <search_policy Policy>
void tier<Policy>::start_batch(std::size_t owner, std::size_t entry,
                               const routing::sub_query_batch& batch) {
    auto& instance = *instances_[owner];
    const auto& map = maps_.at(instance.map);
    const auto replicas_of = [&](const model::shard_ref& shard) {
        const auto* info = map.find_shard(shard);
        return info == nullptr ? std::vector<model::server_id>{} : info->replicas;
    };
    const batch_key key{batch.request, batch.batch};
    auto& open = instance.batches[key];
    open.entry = entry;
    open.call = std::make_unique<batch_type>(clock(), instance.own_ports, instance.context(), batch,
                                             replicas_of);
    open.call->start();
    settle_batch(owner, key);
}

template <search_policy Policy>
void tier<Policy>::cancel_batch(std::size_t from, const model::instance_id& owner,
                                const routing::sub_query_batch& batch) {
    const auto to = index_of(owner.text());
    const batch_key key{batch.request, batch.batch};
    events_.after(from == to ? 0 : delay_ms(from, to), [this, to, key] {
        const auto it = instances_[to]->batches.find(key);
        if (it != instances_[to]->batches.end()) {
            it->second.call->cancel();
            settle_batch(to, key);
        }
    });
}

template <search_policy Policy>
void tier<Policy>::settle_batch(std::size_t owner, const batch_key& key) {
    auto& batches = instances_[owner]->batches;
    const auto it = batches.find(key);
    if (it == batches.end()) {
        return;
    }
    if (!it->second.call->result()) {
        events_.at(it->second.call->next_timer(), [this, owner, key] {
            auto& open = instances_[owner]->batches;
            const auto found = open.find(key);
            if (found != open.end() && now() >= found->second.call->next_timer()) {
                found->second.call->on_timer();
                settle_batch(owner, key);
            }
        });
        return;
    }
    const auto entry = it->second.entry;
    const auto result = *it->second.call->result();
    batches.erase(it);
    events_.after(owner == entry ? 0 : delay_ms(owner, entry), [this, entry, result] {
        const auto query = index_of(result.request.text());
        auto& sessions = instances_[entry]->sessions;
        if (const auto found = sessions.find(query); found != sessions.end()) {
            found->second->on_result(result);
            settle_query(entry, query);
        }
    });
}

}  // namespace poplarfront::bench
