#include "membership/ownership_table.h"

#include <algorithm>
#include <functional>
#include <iterator>
#include <utility>

#include "membership/internal/shard_groups.h"

namespace poplarfront::membership {
namespace {

// The finaliser of splitmix64: each bit of the input affects half of the bits of the result on
// average.
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

// Rendezvous (highest random weight) hashing: the instances with the highest scores own the group.
std::uint64_t score(std::uint64_t group_hash_value, std::uint64_t instance_hash_value) {
    return mix(group_hash_value ^ instance_hash_value);
}

}  // namespace

struct ownership_table::layout {
    struct group_properties {
        std::uint64_t hash = 0;
        std::size_t max_owners = 0;
    };
    struct server_properties {
        std::size_t group = 0;
        std::uint32_t slots = 0;
        std::uint32_t connections = 0;
        friend auto operator<=>(const server_properties&, const server_properties&) = default;
    };

    static layout create(const model::shard_map& map, ownership_policy policy) {
        layout result{map.map_revision(), policy, internal::make_groups(map, policy.group_size)};
        for (std::size_t n = 0; n < result.groups.size(); ++n) {
            const auto& group = result.groups[n];
            std::size_t max_owners = policy.owners_per_group;
            for (const auto& id : group.servers) {
                const auto* server = map.find_server(id);
                result.servers.emplace(id,
                                       server_properties{n, server->slots, server->connections});
                max_owners = std::min<std::size_t>(max_owners, server->slots);
            }
            for (const auto& shard : group.shards) {
                result.group_by_shard.emplace(shard, n);
            }
            result.properties.push_back({group_hash(group), std::max<std::size_t>(max_owners, 1)});
        }
        return result;
    }

    model::revision map_revision;
    ownership_policy policy;
    std::vector<shard_group> groups;
    std::vector<group_properties> properties;
    std::map<model::shard_ref, std::size_t> group_by_shard;
    std::map<model::server_id, server_properties> servers;
};

ownership_table::ownership_table()
    : layout_(std::make_shared<const layout>()),
      working_instances_(std::make_shared<const owner_list>()) {}

kernel::result<ownership_table> ownership_table::create(const model::shard_map& map,
                                                        const model::instance_view& view,
                                                        ownership_policy policy) {
    if (policy.group_size == 0 || policy.owners_per_group == 0) {
        return boost::leaf::new_error(
            ownership_error{"group_size and owners_per_group must be at least 1"});
    }
    ownership_table table;
    table.layout_ = std::make_shared<const layout>(layout::create(map, policy));
    table.owners_by_group_.resize(table.layout_->groups.size());
    table.set_working_instances(view.working_instances());
    if (policy.mode == owner_mode::direct) {
        table.assign_all_owners();
        return table;
    }
    for (std::size_t n = 0; n < table.owners_by_group_.size(); ++n) {
        table.owners_by_group_[n] = table.choose_owners(n);
    }
    return table;
}

ownership_table ownership_table::with_view(const model::instance_view& view) const {
    auto working = view.working_instances();
    if (working == *working_instances_) {
        return *this;
    }
    owner_list removed;
    std::set_difference(working_instances_->begin(), working_instances_->end(), working.begin(),
                        working.end(), std::back_inserter(removed));
    owner_list added;
    std::set_difference(working.begin(), working.end(), working_instances_->begin(),
                        working_instances_->end(), std::back_inserter(added));
    std::vector<std::uint64_t> added_hashes;
    std::transform(added.begin(), added.end(), std::back_inserter(added_hashes), instance_hash);

    auto table = *this;
    table.set_working_instances(std::move(working));
    if (layout_->policy.mode == owner_mode::direct) {
        table.assign_all_owners();
        return table;
    }
    for (std::size_t n = 0; n < owners_by_group_.size(); ++n) {
        if (is_affected(n, removed, added_hashes)) {
            table.owners_by_group_[n] = table.choose_owners(n);
        }
    }
    return table;
}

ownership_table::group_owners ownership_table::choose_owners(std::size_t group) const {
    const auto& properties = layout_->properties[group];
    const auto count = std::min(properties.max_owners, working_instances_->size());
    // The best candidates so far, highest score first; equal scores are ordered by id.
    std::vector<std::pair<std::uint64_t, std::size_t>> best;
    for (std::size_t n = 0; n < working_instance_hashes_.size(); ++n) {
        const auto candidate_score = score(properties.hash, working_instance_hashes_[n]);
        if (best.size() == count && candidate_score <= best.back().first) {
            continue;
        }
        const auto at = std::find_if(best.begin(), best.end(),
                                     [&](const auto& it) { return it.first < candidate_score; });
        best.insert(at, {candidate_score, n});
        if (best.size() > count) {
            best.pop_back();
        }
    }
    owner_list owners;
    for (const auto& [candidate_score, n] : best) {
        owners.push_back((*working_instances_)[n]);
    }
    const auto lowest = best.empty() ? 0 : best.back().first;
    return {std::make_shared<const owner_list>(std::move(owners)), lowest};
}

bool ownership_table::is_affected(std::size_t group, std::span<const model::instance_id> removed,
                                  std::span<const std::uint64_t> added_hashes) const {
    const auto& current = owners_by_group_[group];
    const auto& properties = layout_->properties[group];
    const bool lost_owner =
        std::any_of(current.owners->begin(), current.owners->end(), [&](const auto& owner) {
            return std::binary_search(removed.begin(), removed.end(), owner);
        });
    if (lost_owner) {
        return true;
    }
    if (current.owners->size() < properties.max_owners) {
        return !added_hashes.empty();
    }
    // Includes equal scores, which are ordered by instance id.
    return std::any_of(added_hashes.begin(), added_hashes.end(), [&](std::uint64_t hash) {
        return score(properties.hash, hash) >= current.lowest_score;
    });
}

void ownership_table::set_working_instances(std::vector<model::instance_id> working) {
    working_instance_hashes_.clear();
    std::transform(working.begin(), working.end(), std::back_inserter(working_instance_hashes_),
                   instance_hash);
    working_instances_ = std::make_shared<const owner_list>(std::move(working));
}

void ownership_table::assign_all_owners() {
    std::fill(owners_by_group_.begin(), owners_by_group_.end(),
              group_owners{working_instances_, 0});
}

model::revision ownership_table::map_revision() const {
    return layout_->map_revision;
}

std::span<const shard_group> ownership_table::groups() const {
    return layout_->groups;
}

std::optional<std::size_t> ownership_table::group_of(const model::shard_ref& shard) const {
    const auto it = layout_->group_by_shard.find(shard);
    return it == layout_->group_by_shard.end() ? std::nullopt : std::optional{it->second};
}

std::span<const model::instance_id> ownership_table::owners(std::size_t group) const {
    return *owners_by_group_[group].owners;
}

std::span<const model::instance_id> ownership_table::owners_of(
    const model::shard_ref& shard) const {
    const auto group = group_of(shard);
    return group ? owners(*group) : std::span<const model::instance_id>{};
}

std::vector<std::size_t> ownership_table::groups_of(const model::instance_id& instance) const {
    std::vector<std::size_t> owned;
    for (std::size_t n = 0; n < owners_by_group_.size(); ++n) {
        const auto& owners = *owners_by_group_[n].owners;
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
        const auto& group = layout_->groups[n].servers;
        servers.insert(servers.end(), group.begin(), group.end());
    }
    std::sort(servers.begin(), servers.end());
    return servers;
}

std::optional<server_quota> ownership_table::quota_of(const model::instance_id& instance,
                                                      const model::server_id& server) const {
    const auto it = layout_->servers.find(server);
    if (it == layout_->servers.end()) {
        return std::nullopt;
    }
    const auto& owners = *owners_by_group_[it->second.group].owners;
    if (std::find(owners.begin(), owners.end(), instance) == owners.end()) {
        return std::nullopt;
    }
    const auto count = static_cast<std::uint32_t>(owners.size());
    return server_quota{std::max(1U, it->second.slots / count),
                        std::max(1U, it->second.connections / (count + 1))};
}

bool operator==(const ownership_table& a, const ownership_table& b) {
    const bool same_layout =
        a.layout_ == b.layout_ ||
        (a.layout_->map_revision == b.layout_->map_revision &&
         a.layout_->policy == b.layout_->policy && a.layout_->groups == b.layout_->groups &&
         a.layout_->servers == b.layout_->servers);
    return same_layout && *a.working_instances_ == *b.working_instances_ &&
           std::equal(a.owners_by_group_.begin(), a.owners_by_group_.end(),
                      b.owners_by_group_.begin(), b.owners_by_group_.end(),
                      [](const auto& x, const auto& y) { return *x.owners == *y.owners; });
}

}  // namespace poplarfront::membership
