#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "kernel/result.h"
#include "model/instance_view.h"
#include "model/ownership_policy.h"
#include "model/shard_map.h"

namespace poplarfront::membership {

/// Why an ownership_table cannot be computed.
struct ownership_error {
    std::string message;
    friend auto operator<=>(const ownership_error&, const ownership_error&) = default;
};

using model::owner_mode;
using model::ownership_policy;

/// Shards that have the same owners, with all backend servers that hold them.
struct shard_group {
    std::vector<model::shard_ref> shards;
    /// Sorted.
    std::vector<model::server_id> servers;
    friend auto operator<=>(const shard_group&, const shard_group&) = default;
};

/// What one owner may use of a backend server.
struct server_quota {
    std::uint32_t slots = 0;
    std::uint32_t connections = 0;
    friend auto operator<=>(const server_quota&, const server_quota&) = default;
};

/// Which instances send sub-queries to which backend servers, for one shard map and one view.
/// Immutable; safe to read from any thread.
class ownership_table {
public:
    /// A table without shard groups.
    ownership_table();

    /// Errors: ownership_error if group_size or owners_per_group is 0.
    static kernel::result<ownership_table> create(const model::shard_map& map,
                                                  const model::instance_view& view,
                                                  ownership_policy policy);

    /// The table for the same shard map and another view. Only groups that an instance left or
    /// joined get new owners; the other groups share their owner lists with this table.
    [[nodiscard]] ownership_table with_view(const model::instance_view& view) const;

    [[nodiscard]] model::revision map_revision() const;
    [[nodiscard]] std::span<const shard_group> groups() const;
    /// The position in groups(); absent if the shard is unknown.
    [[nodiscard]] std::optional<std::size_t> group_of(const model::shard_ref& shard) const;
    /// The owners of a group in the order of preference; empty if no instance is working.
    /// Precondition: group < groups().size(). Valid while this table lives.
    [[nodiscard]] std::span<const model::instance_id> owners(std::size_t group) const;
    /// The owners of the shard's group; empty if the shard is unknown.
    [[nodiscard]] std::span<const model::instance_id> owners_of(
        const model::shard_ref& shard) const;
    /// The positions of the groups that an instance owns.
    [[nodiscard]] std::vector<std::size_t> groups_of(const model::instance_id& instance) const;
    /// The backend servers that an instance may send to, sorted.
    [[nodiscard]] std::vector<model::server_id> servers_of(
        const model::instance_id& instance) const;
    /// The exact part of a backend server that each owner of its group has, one part of its
    /// connections being kept free for handover. Absent if `instance` does not own it.
    [[nodiscard]] std::optional<server_quota> quota_of(const model::instance_id& instance,
                                                       const model::server_id& server) const;

    friend bool operator==(const ownership_table& a, const ownership_table& b);

private:
    struct plan;
    using owner_list = std::vector<model::instance_id>;
    struct chosen {
        std::shared_ptr<const owner_list> owners;
        /// The score of the last owner: an instance with a higher one becomes an owner.
        std::uint64_t lowest_score = 0;
    };

    [[nodiscard]] chosen choose(std::size_t group) const;
    [[nodiscard]] bool affected(std::size_t group, std::span<const model::instance_id> removed,
                                std::span<const std::uint64_t> added_hashes) const;
    void set_working(std::vector<model::instance_id> working);
    void share_all_owners();

    std::shared_ptr<const plan> plan_;
    /// Sorted by id.
    std::shared_ptr<const owner_list> working_;
    std::vector<std::uint64_t> working_hashes_;
    /// One for each group.
    std::vector<chosen> chosen_;
};

}  // namespace poplarfront::membership
