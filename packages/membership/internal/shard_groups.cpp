#include "membership/internal/shard_groups.h"

#include <algorithm>
#include <numeric>
#include <unordered_map>

namespace poplarfront::membership::internal {
namespace {

// Union-find over positions; the representative of a set is its lowest position.
class disjoint_sets {
public:
    explicit disjoint_sets(std::size_t size) : parents_(size) {
        std::iota(parents_.begin(), parents_.end(), 0);
    }

    std::size_t find(std::size_t n) {
        while (parents_[n] != n) {
            parents_[n] = parents_[parents_[n]];
            n = parents_[n];
        }
        return n;
    }

    void unite(std::size_t a, std::size_t b) {
        a = find(a);
        b = find(b);
        parents_[std::max(a, b)] = std::min(a, b);
    }

private:
    std::vector<std::size_t> parents_;
};

struct placed_shard {
    model::shard_ref ref;
    const std::vector<model::server_id>* replicas = nullptr;
};

std::vector<placed_shard> shards_in_order(const model::shard_map& map) {
    std::vector<placed_shard> shards;
    for (const auto& [id, service] : map.services()) {
        for (const auto& shard : service.shards) {
            shards.push_back({{id, shard.shard}, &shard.replicas});
        }
    }
    return shards;
}

disjoint_sets unite_by_server(const std::vector<placed_shard>& shards) {
    disjoint_sets sets{shards.size()};
    std::unordered_map<model::server_id, std::size_t> first_holder;
    for (std::size_t n = 0; n < shards.size(); ++n) {
        for (const auto& server : *shards[n].replicas) {
            sets.unite(first_holder.emplace(server, n).first->second, n);
        }
    }
    return sets;
}

void add(shard_group& group, const placed_shard& shard) {
    group.shards.push_back(shard.ref);
    group.servers.insert(group.servers.end(), shard.replicas->begin(), shard.replicas->end());
}

void sort_servers(shard_group& group) {
    std::sort(group.servers.begin(), group.servers.end());
    const auto last = std::unique(group.servers.begin(), group.servers.end());
    group.servers.erase(last, group.servers.end());
}

}  // namespace

std::vector<shard_group> make_groups(const model::shard_map& map, std::uint32_t group_size) {
    const auto shards = shards_in_order(map);
    auto sets = unite_by_server(shards);
    std::vector<std::vector<std::size_t>> members(shards.size());
    for (std::size_t n = 0; n < shards.size(); ++n) {
        members[sets.find(n)].push_back(n);
    }
    std::vector<shard_group> groups;
    for (const auto& set : members) {
        if (set.empty()) {
            continue;
        }
        const auto& service = shards[set.front()].ref.service;
        const bool fits = !groups.empty() && groups.back().shards.front().service == service &&
                          groups.back().shards.size() + set.size() <= group_size;
        if (!fits) {
            groups.emplace_back();
        }
        for (const auto n : set) {
            add(groups.back(), shards[n]);
        }
    }
    std::for_each(groups.begin(), groups.end(), sort_servers);
    return groups;
}

}  // namespace poplarfront::membership::internal
