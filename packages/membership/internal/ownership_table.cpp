#include "membership/ownership_table.h"

#include <algorithm>
#include <functional>
#include <iterator>
#include <utility>

#include "membership/internal/shard_groups.h"

namespace poplarfront::membership {
namespace {

// The finaliser of splitmix64: every bit of the input changes half of the bits of the result.
std::uint64_t mix(std::uint64_t n) {
    n = (n ^ (n >> 30U)) * 0xbf58476d1ce4e5b9U;
    n = (n ^ (n >> 27U)) * 0x94d049bb133111ebU;
    return n ^ (n >> 31U);
}

std::uint64_t group_hash(const shard_group& group) {
    const auto& first = group.shards.front();
    return model::stable_hash(first.shard.text(), model::stable_hash(first.service.text()));
}

std::uint64_t instance_hash(const model::instance_id& id) {
    return mix(model::stable_hash(id.text()));
}

std::uint64_t score(std::uint64_t group, std::uint64_t instance) {
    return mix(group ^ instance);
}

}  // namespace

struct ownership_table::plan {
    struct group_facts {
        std::uint64_t hash = 0;
        std::size_t max_owners = 0;
    };
    struct server_facts {
        std::size_t group = 0;
        std::uint32_t slots = 0;
        std::uint32_t connections = 0;
        friend auto operator<=>(const server_facts&, const server_facts&) = default;
    };

    static plan create(const model::shard_map& map, ownership_policy policy) {
        plan made{map.map_revision(), policy, internal::make_groups(map, policy.group_size)};
        for (std::size_t n = 0; n < made.groups.size(); ++n) {
            const auto& group = made.groups[n];
            std::size_t max_owners = policy.owners_per_group;
            for (const auto& id : group.servers) {
                const auto* server = map.find_server(id);
                made.servers.emplace(id, server_facts{n, server->slots, server->connections});
                max_owners = std::min<std::size_t>(max_owners, server->slots);
            }
            for (const auto& shard : group.shards) {
                made.group_by_shard.emplace(shard, n);
            }
            made.facts.push_back({group_hash(group), std::max<std::size_t>(max_owners, 1)});
        }
        return made;
    }

    model::revision map_revision;
    ownership_policy policy;
    std::vector<shard_group> groups;
    std::vector<group_facts> facts;
    std::map<model::shard_ref, std::size_t> group_by_shard;
    std::map<model::server_id, server_facts> servers;
};

ownership_table::ownership_table()
    : plan_(std::make_shared<const plan>()), working_(std::make_shared<const owner_list>()) {}

kernel::result<ownership_table> ownership_table::create(const model::shard_map& map,
                                                        const model::instance_view& view,
                                                        ownership_policy policy) {
    if (policy.group_size == 0 || policy.owners_per_group == 0) {
        return boost::leaf::new_error(
            ownership_error{"group_size and owners_per_group must be at least 1"});
    }
    ownership_table table;
    table.plan_ = std::make_shared<const plan>(plan::create(map, policy));
    table.chosen_.resize(table.plan_->groups.size());
    table.set_working(view.working_instances());
    if (policy.mode == owner_mode::direct) {
        table.share_all_owners();
        return table;
    }
    for (std::size_t n = 0; n < table.chosen_.size(); ++n) {
        table.chosen_[n] = table.choose(n);
    }
    return table;
}

ownership_table ownership_table::with_view(const model::instance_view& view) const {
    auto working = view.working_instances();
    if (working == *working_) {
        return *this;
    }
    owner_list removed;
    std::set_difference(working_->begin(), working_->end(), working.begin(), working.end(),
                        std::back_inserter(removed));
    owner_list added;
    std::set_difference(working.begin(), working.end(), working_->begin(), working_->end(),
                        std::back_inserter(added));
    std::vector<std::uint64_t> added_hashes;
    std::transform(added.begin(), added.end(), std::back_inserter(added_hashes), instance_hash);

    auto table = *this;
    table.set_working(std::move(working));
    if (plan_->policy.mode == owner_mode::direct) {
        table.share_all_owners();
        return table;
    }
    for (std::size_t n = 0; n < chosen_.size(); ++n) {
        if (affected(n, removed, added_hashes)) {
            table.chosen_[n] = table.choose(n);
        }
    }
    return table;
}

ownership_table::chosen ownership_table::choose(std::size_t group) const {
    const auto& facts = plan_->facts[group];
    const auto count = std::min(facts.max_owners, working_->size());
    // The best so far, highest score first; equal scores are ordered by id.
    std::vector<std::pair<std::uint64_t, std::size_t>> best;
    for (std::size_t n = 0; n < working_hashes_.size(); ++n) {
        const auto points = score(facts.hash, working_hashes_[n]);
        if (best.size() == count && points <= best.back().first) {
            continue;
        }
        const auto at = std::find_if(best.begin(), best.end(),
                                     [&](const auto& it) { return it.first < points; });
        best.insert(at, {points, n});
        if (best.size() > count) {
            best.pop_back();
        }
    }
    owner_list owners;
    for (const auto& [points, n] : best) {
        owners.push_back((*working_)[n]);
    }
    const auto lowest = best.empty() ? 0 : best.back().first;
    return {std::make_shared<const owner_list>(std::move(owners)), lowest};
}

bool ownership_table::affected(std::size_t group, std::span<const model::instance_id> removed,
                               std::span<const std::uint64_t> added_hashes) const {
    const auto& now = chosen_[group];
    const auto& facts = plan_->facts[group];
    const bool lost = std::any_of(now.owners->begin(), now.owners->end(), [&](const auto& owner) {
        return std::binary_search(removed.begin(), removed.end(), owner);
    });
    if (lost) {
        return true;
    }
    if (now.owners->size() < facts.max_owners) {
        return !added_hashes.empty();
    }
    // An equal score counts too: then the ids decide.
    return std::any_of(added_hashes.begin(), added_hashes.end(), [&](std::uint64_t hash) {
        return score(facts.hash, hash) >= now.lowest_score;
    });
}

void ownership_table::set_working(std::vector<model::instance_id> working) {
    working_hashes_.clear();
    std::transform(working.begin(), working.end(), std::back_inserter(working_hashes_),
                   instance_hash);
    working_ = std::make_shared<const owner_list>(std::move(working));
}

void ownership_table::share_all_owners() {
    std::fill(chosen_.begin(), chosen_.end(), chosen{working_, 0});
}

model::revision ownership_table::map_revision() const {
    return plan_->map_revision;
}

std::span<const shard_group> ownership_table::groups() const {
    return plan_->groups;
}

std::optional<std::size_t> ownership_table::group_of(const model::shard_ref& shard) const {
    const auto it = plan_->group_by_shard.find(shard);
    return it == plan_->group_by_shard.end() ? std::nullopt : std::optional{it->second};
}

std::span<const model::instance_id> ownership_table::owners(std::size_t group) const {
    return *chosen_[group].owners;
}

std::span<const model::instance_id> ownership_table::owners_of(
    const model::shard_ref& shard) const {
    const auto group = group_of(shard);
    return group ? owners(*group) : std::span<const model::instance_id>{};
}

std::vector<std::size_t> ownership_table::groups_of(const model::instance_id& instance) const {
    std::vector<std::size_t> owned;
    for (std::size_t n = 0; n < chosen_.size(); ++n) {
        const auto& owners = *chosen_[n].owners;
        if (std::find(owners.begin(), owners.end(), instance) != owners.end()) {
            owned.push_back(n);
        }
    }
    return owned;
}

std::vector<model::server_id> ownership_table::servers_of(
    const model::instance_id& instance) const {
    std::vector<model::server_id> servers;
    for (const auto n : groups_of(instance)) {
        const auto& group = plan_->groups[n].servers;
        servers.insert(servers.end(), group.begin(), group.end());
    }
    std::sort(servers.begin(), servers.end());
    return servers;
}

std::optional<server_quota> ownership_table::quota_of(const model::instance_id& instance,
                                                      const model::server_id& server) const {
    const auto it = plan_->servers.find(server);
    if (it == plan_->servers.end()) {
        return std::nullopt;
    }
    const auto& owners = *chosen_[it->second.group].owners;
    if (std::find(owners.begin(), owners.end(), instance) == owners.end()) {
        return std::nullopt;
    }
    const auto count = static_cast<std::uint32_t>(owners.size());
    return server_quota{std::max(1U, it->second.slots / count),
                        std::max(1U, it->second.connections / (count + 1))};
}

bool operator==(const ownership_table& a, const ownership_table& b) {
    const bool same_plan =
        a.plan_ == b.plan_ ||
        (a.plan_->map_revision == b.plan_->map_revision && a.plan_->policy == b.plan_->policy &&
         a.plan_->groups == b.plan_->groups && a.plan_->servers == b.plan_->servers);
    return same_plan && *a.working_ == *b.working_ &&
           std::equal(a.chosen_.begin(), a.chosen_.end(), b.chosen_.begin(), b.chosen_.end(),
                      [](const auto& x, const auto& y) { return *x.owners == *y.owners; });
}

}  // namespace poplarfront::membership
