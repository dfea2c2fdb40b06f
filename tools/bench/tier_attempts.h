#pragma once

#include "bench/tier.h"

namespace poplarfront::bench {

template <search_policy Policy>
auto tier<Policy>::access(std::size_t index, std::size_t server) -> server_access& {
    auto& instance = *instances_[index];
    if (const auto it = instance.servers.find(server); it != instance.servers.end()) {
        return it->second;
    }
    const auto part = instance.ownership->quota_of(instance_named(index), server_named(server))
                          .value_or(membership::server_quota{1, 1});
    const auto slots = Policy::limits_slots ? part.slots : part.connections;
    return instance.servers.emplace(server, server_access{clock(), slots}).first->second;
}

template <search_policy Policy>
void tier<Policy>::queue_attempt(std::size_t from, const model::shard_attempt& attempt) {
    const auto server = index_of(attempt.server.text());
    const auto id = ++last_flight_;
    flights_.emplace(id, flight{from, server, attempt});
    flight_ids_[{from, attempt.request, attempt.attempt}] = id;
    // The transport must not call back while an attempt is sent.
    events_.after(0, [this, from, server, id, deadline = attempt.deadline] {
        if (flights_.contains(id)) {
            auto& slots = access(from, server).slots;
            take_step(slots.offer({id, deadline}));
            events_.at(slots.next_timer(), [this, from, server] {
                auto& waiting = access(from, server).slots;
                if (now() >= waiting.next_timer()) {
                    take_step(waiting.on_timer());
                }
            });
        }
    });
}

template <search_policy Policy>
void tier<Policy>::take_step(const admission::slot_decisions& step) {
    for (const auto& it : step.refused) {
        const auto reply = failed(flights_.at(it.id).attempt, model::attempt_status::not_sent);
        events_.after(0, [this, id = it.id, reply] { end_flight(id, reply, false); });
    }
    for (const auto id : step.started) {
        send_attempt(id);
    }
}

template <search_policy Policy>
void tier<Policy>::send_attempt(std::uint64_t id) {
    auto& found = flights_.at(id);
    found.has_slot = true;
    found.sent_at = now();
    auto& server = access(found.instance, found.server);
    double delay = delay_ms(found.instance, found.server);
    if (server.idle_connections > 0) {
        --server.idle_connections;
    } else {
        delay += options_.work.connect_ms;
    }
    events_.after(delay, [this, id] { reach_server(id); });
    events_.at(found.attempt.deadline, [this, id] {
        if (const auto it = flights_.find(id); it != flights_.end()) {
            end_flight(id, failed(it->second.attempt, model::attempt_status::timed_out), false);
        }
    });
}

template <search_policy Policy>
void tier<Policy>::reach_server(std::uint64_t id) {
    const auto it = flights_.find(id);
    if (it == flights_.end() || it->second.cancelled) {
        return;
    }
    const auto& [instance, server, attempt, has_slot, cancelled, sent_at] = it->second;
    if (servers_[server]->down()) {
        const auto reply = failed(attempt, model::attempt_status::not_sent);
        events_.after(delay_ms(instance, server),
                      [this, id, reply] { end_flight(id, reply, false); });
        return;
    }
    if (const auto notice = drain_notices_.find(server); notice != drain_notices_.end()) {
        constexpr auto limit = std::chrono::seconds{2};
        require(sent_at <= notice->second + limit, "no new work 2 s after a drain notice");
    }
    auto& query = queries_.at(index_of(attempt.request.text()));
    query.executed = true;
    require(!query.refused, "a request refused as not run did not run");
    const auto shard = static_cast<std::size_t>(std::stoi(attempt.shard.shard.text()));
    ++query.attempts[shard];
    if (query.measured) {
        ++result_.attempts;
        result_.extra += query.attempts[shard] > 1 ? 1 : 0;
    }
    servers_[server]->arrive(id, attempt);
}

template <search_policy Policy>
void tier<Policy>::cancel_attempt(std::size_t from, const model::shard_attempt& attempt) {
    const auto key = flight_ids_.find({from, attempt.request, attempt.attempt});
    if (key == flight_ids_.end()) {
        return;
    }
    const auto id = key->second;
    events_.after(0, [this, id] {
        const auto it = flights_.find(id);
        if (it == flights_.end()) {
            return;
        }
        const auto reply = failed(it->second.attempt, model::attempt_status::timed_out);
        if (!it->second.has_slot) {
            access(it->second.instance, it->second.server).slots.cancel(id);
            end_flight(id, reply, false);
            return;
        }
        const double delay = delay_ms(it->second.instance, it->second.server);
        it->second.cancelled = true;
        events_.after(delay, [this, id, reply, delay] {
            const auto found = flights_.find(id);
            if (found == flights_.end()) {
                return;
            }
            servers_[found->second.server]->cancel(id);
            events_.after(delay, [this, id, reply] { end_flight(id, reply, true); });
        });
    });
}

template <search_policy Policy>
void tier<Policy>::end_flight(std::uint64_t id, const model::attempt_reply& reply,
                              bool keep_connection) {
    const auto it = flights_.find(id);
    if (it == flights_.end()) {
        return;
    }
    const auto ended = it->second;
    flights_.erase(it);
    flight_ids_.erase({ended.instance, ended.attempt.request, ended.attempt.attempt});
    auto& server = access(ended.instance, ended.server);
    const bool connected = keep_connection && !servers_[ended.server]->down();
    server.idle_connections += connected ? 1 : 0;
    if (ended.has_slot) {
        const bool executed = reply.status == model::attempt_status::ok && !ended.cancelled;
        take_step(
            server.slots.release(executed ? std::optional{now() - ended.sent_at} : std::nullopt));
    }
    deliver(ended.instance, reply);
}

template <search_policy Policy>
void tier<Policy>::deliver(std::size_t to, const model::attempt_reply& reply) {
    if (reply.status == model::attempt_status::draining) {
        spread_drain_notice(index_of(reply.server.text()));
    }
    constexpr std::uint32_t attempt_bits_per_batch = 18;
    const batch_key key{reply.request, reply.attempt >> attempt_bits_per_batch};
    auto& batches = instances_[to]->batches;
    if (const auto it = batches.find(key); it != batches.end()) {
        it->second.call->on_reply(reply);
        settle_batch(to, key);
    }
}

}  // namespace poplarfront::bench
