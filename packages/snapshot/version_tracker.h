#pragma once

#include <algorithm>
#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <vector>

#include "model/backend.h"
#include "model/shard_map.h"

namespace poplarfront::snapshot {

/// Tracks from replies which index versions backend servers and shards hold. The information may be
/// out of date: a backend server may have dropped a version since its last reply. Not thread-safe.
class version_tracker {
public:
    /// Records the versions that a backend server reported; they replace earlier ones.
    void observe(const model::server_id& server, const model::version_range& held) {
        servers_.insert_or_assign(server, held);
    }

    /// Records the versions that an owner reported for a shard without naming the backend server;
    /// they replace earlier ones.
    void observe(const model::shard_ref& shard, const model::version_range& held) {
        shards_.insert_or_assign(shard, held);
    }

    /// Removes backend servers and shards that are no longer in the shard map.
    void retain(const model::shard_map& map) {
        std::erase_if(servers_,
                      [&](const auto& it) { return map.find_server(it.first) == nullptr; });
        std::erase_if(shards_, [&](const auto& it) { return map.find_shard(it.first) == nullptr; });
    }

    /// The versions that a backend server reported last; absent if it has reported none.
    [[nodiscard]] std::optional<model::version_range> held_by(
        const model::server_id& server) const {
        const auto it = servers_.find(server);
        return it == servers_.end() ? std::nullopt : std::optional{it->second};
    }

    /// Chooses the version that a query reads: the newest one that at least one replica of every
    /// shard last reported. Shards without a report do not limit the choice. If no version is
    /// common to all shards, chooses the one that most shards hold, or the newest of several such
    /// versions: the report of a shard that has not replied for some time is out of date and must
    /// not hold back the others. Absent if there are no reports.
    [[nodiscard]] std::optional<model::index_version> choose(
        const model::shard_map& map, std::span<const model::shard_ref> shards) const {
        std::vector<version_ranges> known;
        for (const auto& shard : shards) {
            auto held = ranges_of(map, shard);
            if (!held.empty()) {
                known.push_back(std::move(held));
            }
        }
        if (known.empty()) {
            return std::nullopt;
        }
        const auto common = newest_common(known);
        return common ? common : held_by_most(known);
    }

private:
    using version_ranges = std::vector<model::version_range>;

    [[nodiscard]] version_ranges ranges_of(const model::shard_map& map,
                                           const model::shard_ref& shard) const {
        version_ranges found;
        if (const auto it = shards_.find(shard); it != shards_.end()) {
            found.push_back(it->second);
        }
        const auto* info = map.find_shard(shard);
        if (info == nullptr) {
            return found;
        }
        for (const auto& replica : info->replicas) {
            if (const auto held = held_by(replica)) {
                found.push_back(*held);
            }
        }
        return found;
    }

    /// The newest version in `held` that is not newer than `limit`.
    static std::optional<model::index_version> newest_up_to(const version_ranges& held,
                                                            model::index_version limit) {
        std::optional<model::index_version> newest;
        for (const auto& it : held) {
            if (it.oldest <= limit && it.oldest <= it.newest) {
                newest = std::max(newest, std::optional{std::min(it.newest, limit)});
            }
        }
        return newest;
    }

    /// The newest version that each element of `known` contains. Lowers a candidate until all
    /// elements contain it.
    static std::optional<model::index_version> newest_common(
        const std::vector<version_ranges>& known) {
        model::index_version candidate{~std::uint64_t{0}};
        bool changed = true;
        while (changed) {
            changed = false;
            for (const auto& held : known) {
                const auto newest = newest_up_to(held, candidate);
                if (!newest) {
                    return std::nullopt;
                }
                changed = changed || *newest < candidate;
                candidate = *newest;
            }
        }
        return candidate;
    }

    /// The version that most elements of `known` contain, or the newest of several such versions.
    static std::optional<model::index_version> held_by_most(
        const std::vector<version_ranges>& known) {
        std::optional<model::index_version> best;
        std::ptrdiff_t most = 0;
        for (const auto candidate : newest_versions(known)) {
            const auto holders = std::count_if(known.begin(), known.end(), [&](const auto& held) {
                return newest_up_to(held, candidate) == candidate;
            });
            if (holders >= most) {
                most = holders;
                best = candidate;
            }
        }
        return best;
    }

    static std::set<model::index_version> newest_versions(
        const std::vector<version_ranges>& known) {
        std::set<model::index_version> versions;
        for (const auto& held : known) {
            for (const auto& it : held) {
                versions.insert(it.newest);
            }
        }
        return versions;
    }

    std::map<model::server_id, model::version_range> servers_;
    std::map<model::shard_ref, model::version_range> shards_;
};

}  // namespace poplarfront::snapshot
