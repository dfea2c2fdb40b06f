#pragma once

#include <cmath>

#include "bench/tier.h"

namespace poplarfront::bench {

template <search_policy Policy>
tier<Policy>::tier(const run_options& options)
    : options_(options),
      random_(options.seed),
      maps_{{1, make_map(options.work, 1)}, {2, make_map(options.work, 2)}} {
    for (int it = 0; it < options_.work.servers; ++it) {
        const auto index = static_cast<std::size_t>(it);
        servers_.push_back(std::make_unique<backend_fake>(
            events_, options_.work, options_.seed * 1000 + index,
            [this](std::uint64_t id, const model::attempt_reply& reply) {
                // The instance may have given up the request without a cancel.
                if (const auto sent = flights_.find(id); sent != flights_.end()) {
                    events_.after(delay_ms(sent->second.instance, sent->second.server),
                                  [this, id, reply] { end_flight(id, reply, true); });
                }
            }));
    }
    instances_.resize(static_cast<std::size_t>(options_.work.instances));
    for (std::size_t it = 0; it < instances_.size(); ++it) {
        create_instance(it);
    }
    publish_ownership(0);
}

template <search_policy Policy>
void tier<Policy>::create_instance(std::size_t index) {
    const auto seed = options_.seed * 100 + ++starts_;
    instances_[index] = std::make_unique<instance_state>(*this, index, seed, shares());
}

template <search_policy Policy>
admission::share_table tier<Policy>::shares() const {
    const double rate = guaranteed_part * capacity_per_s(options_.work) / searcher_count;
    admission::share_table table;
    for (int it = 0; it < searcher_count; ++it) {
        const auto searcher = model::searcher_id::trusted("searcher" + std::to_string(it));
        constexpr double burst = 20;
        constexpr std::size_t waiting = 256;
        table.shares[{searcher, std::nullopt}] = {rate, 1, burst, waiting};
    }
    return table.divided(instances_.size());
}

template <search_policy Policy>
std::shared_ptr<const membership::ownership_table> tier<Policy>::make_ownership(
    std::uint64_t map) const {
    model::instance_view view;
    for (std::size_t it = 0; it < instances_.size(); ++it) {
        if (!away_.contains(it)) {
            const auto id = instance_named(it);
            view.instances[id] = {id, {}, "", {}, model::instance_status::alive};
        }
    }
    return std::make_shared<const membership::ownership_table>(
        *membership::ownership_table::create(maps_.at(map), view, {.mode = options_.mode}));
}

template <search_policy Policy>
void tier<Policy>::publish_ownership(double longest_delay_ms) {
    std::map<std::uint64_t, std::shared_ptr<const membership::ownership_table>> tables;
    for (std::size_t it = 0; it < instances_.size(); ++it) {
        const auto map = instances_[it]->map;
        auto& table = tables[map];
        table = table ? table : make_ownership(map);
        if (!instances_[it]->ownership) {
            instances_[it]->ownership = table;
        }
        events_.after(between(0, longest_delay_ms), [this, it, map, table = table] {
            if (instances_[it]->map == map) {
                instances_[it]->ownership = table;
            }
        });
    }
}

template <search_policy Policy>
run_result tier<Policy>::run() {
    schedule_versions();
    schedule_arrivals();
    schedule_faults();
    events_.run_until(now() + from_ms(moment(1) + 2 * options_.work.deadline_ms));
    for (const auto& [id, query] : queries_) {
        require(query.ended || query.refused, "every query is answered");
    }
    std::sort(latencies_.begin(), latencies_.end());
    const auto quantile = [&](double part) {
        const auto position =
            static_cast<std::size_t>(part * static_cast<double>(latencies_.size()));
        return latencies_.empty() ? 0 : latencies_[std::min(position, latencies_.size() - 1)];
    };
    result_.p50_ms = quantile(0.5);
    result_.p99_ms = quantile(0.99);
    result_.p999_ms = quantile(0.999);
    const double middle_s = (fault_end - fault_start) * options_.seconds;
    const double share = guaranteed_part * capacity_per_s(options_.work) / searcher_count;
    result_.lowest_share = 1e9;
    for (std::size_t it = 0; it < surge_offered_.size(); ++it) {
        const auto offered = static_cast<double>(surge_offered_[it]) / middle_s;
        const auto got = static_cast<double>(surge_complete_[it]) / middle_s;
        result_.goodput_per_s += got;
        result_.lowest_share = std::min(result_.lowest_share, got / std::min(offered, share));
    }
    return std::move(result_);
}

template <search_policy Policy>
void tier<Policy>::schedule_arrivals() {
    constexpr std::uint64_t query_texts = 200;
    constexpr double ms_per_s = 1000;
    // A generator of its own, so that all policies get the same arrivals.
    kernel::seeded_random_source random{options_.seed + 1};
    const double rate = steady_load * capacity_per_s(options_.work) / ms_per_s;
    for (double when = 0; when < moment(1);) {
        const bool middle = when >= moment(fault_start) && when < moment(fault_end);
        const bool surge = middle && options_.which == scenario::surge;
        const double factor = surge ? surge_factor : 1;
        when -= std::log(1 - kernel::uniform_unit(random)) / (rate * factor);
        query_state query;
        // What a surge adds comes from the first searcher; the others ask as before.
        const bool added = kernel::uniform_unit(random) >= 1 / factor;
        const auto any = static_cast<int>(kernel::uniform_below(random, searcher_count));
        query.searcher = added ? 0 : any;
        query.measured = when >= warm_up_ms;
        query.in_surge = middle;
        query.request.searcher =
            model::searcher_id::trusted("searcher" + std::to_string(query.searcher));
        query.request.services = {model::service_id::trusted("s")};
        query.request.query = "q" + std::to_string(kernel::uniform_below(random, query_texts));
        const auto entry = kernel::uniform_below(random, instances_.size());
        events_.after(when + options_.work.to_clients_ms,
                      [this, entry, query = std::move(query)] { arrive(entry, query); });
    }
}

template <search_policy Policy>
void tier<Policy>::schedule_versions() {
    constexpr double interval_ms = 1000;
    constexpr double spread_ms = 200;
    for (double when = interval_ms; when < moment(1); when += interval_ms) {
        for (auto& it : servers_) {
            events_.after(when + between(0, spread_ms), [&it] { it->add_version(); });
        }
    }
}

template <search_policy Policy>
void tier<Policy>::schedule_faults() {
    constexpr double straggler_slowness = 10;
    constexpr double replacement_ms = 250;
    constexpr std::size_t victim = 1;
    const auto at = [this](double part, std::function<void()> action) {
        events_.after(moment(part), std::move(action));
    };
    switch (options_.which) {
        case scenario::steady:
        case scenario::surge:
            break;
        case scenario::straggler:
            at(0, [this] { servers_[victim]->set_slowness(straggler_slowness); });
            break;
        case scenario::lost_replica:
            at(fault_start, [this] { stop_server(victim); });
            at(fault_end, [this] { servers_[victim]->start(); });
            break;
        case scenario::replacement:
            for (std::size_t it = 0; it < instances_.size(); ++it) {
                const auto part = static_cast<double>(it) / static_cast<double>(instances_.size());
                // A few are away at once; in a short run the last ones stay.
                const auto when = std::max(moment(part * fault_end),
                                           warm_up_ms + replacement_ms * static_cast<double>(it));
                events_.after(when, [this, it] { replace_instance(it); });
            }
            at(fault_end, [this] { drain_server(victim, true); });
            break;
        case scenario::store_outage:
            // Searches do not use the store. An instance that starts learns from peers, and a
            // drain notice is known from a reply first.
            at(fault_start, [this] { replace_instance(victim); });
            at(fault_start, [this] { drain_server(victim, false); });
            break;
        case scenario::repartition:
            at(fault_start, [this] { change_map(); });
            break;
    }
}

template <search_policy Policy>
void tier<Policy>::replace_instance(std::size_t index) {
    constexpr double gossip_ms = 500;
    constexpr double away_ms = 1500;
    instances_[index]->leaving = true;
    away_.insert(index);
    publish_ownership(gossip_ms);
    events_.after(away_ms, [this, index] {
        const auto& old = *instances_[index];
        require(old.sessions.empty(), "a planned stop interrupts no request");
        for (const auto& [key, batch] : old.batches) {
            require(batch.call->result().has_value(), "a planned stop interrupts no request");
        }
        const auto map = old.map;
        create_instance(index);
        instances_[index]->map = map;
        away_.erase(index);
        publish_ownership(gossip_ms);
    });
}

template <search_policy Policy>
void tier<Policy>::drain_server(std::size_t index, bool announced) {
    servers_[index]->set_draining();
    drain_notices_[index] = now();
    if (announced) {
        spread_drain_notice(index);
    }
}

template <search_policy Policy>
void tier<Policy>::spread_drain_notice(std::size_t index) {
    constexpr double gossip_ms = 1000;
    if (!spread_notices_.insert(index).second) {
        return;
    }
    for (std::size_t it = 0; it < instances_.size(); ++it) {
        events_.after(between(0, gossip_ms), [this, it, index] {
            instances_[it]->replicas.mark_draining(server_named(index), now());
        });
    }
}

template <search_policy Policy>
void tier<Policy>::stop_server(std::size_t index) {
    for (auto& it : instances_) {
        if (const auto found = it->servers.find(index); found != it->servers.end()) {
            found->second.idle_connections = 0;
        }
    }
    for (const auto id : servers_[index]->stop()) {
        const auto it = flights_.find(id);
        if (it == flights_.end()) {
            continue;
        }
        const auto& lost = it->second;
        const auto reply = failed(lost.attempt, model::attempt_status::connection_lost);
        events_.after(delay_ms(lost.instance, lost.server),
                      [this, id, reply] { end_flight(id, reply, false); });
    }
}

template <search_policy Policy>
void tier<Policy>::change_map() {
    constexpr double servers_ms = 50;
    constexpr double instances_ms = 300;
    constexpr double both_maps_ms = 2000;
    for (auto& it : servers_) {
        events_.after(between(0, servers_ms), [&it] { it->add_map(2); });
        events_.after(both_maps_ms, [&it] { it->drop_maps_before(2); });
    }
    for (auto& it : instances_) {
        events_.after(between(0, instances_ms), [this, &it] {
            it->map = 2;
            it->ownership = make_ownership(2);
        });
    }
}

}  // namespace poplarfront::bench
