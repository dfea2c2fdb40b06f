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

/// The slots and connections of a backend server that one of its owners may use.
struct server_quota {
    std::uint32_t slots = 0;
    std::uint32_t connections = 0;
    friend auto operator<=>(const server_quota&, const server_quota&) = default;
};

/// Assigns backend servers to the instances that send sub-queries to them, for one shard map and
/// one view. Immutable; safe to read from any thread.
class ownership_table {
public:
    /// A table without shard groups.
    ownership_table();

    /// Errors: ownership_error if group_size or owners_per_group is 0.
    static kernel::result<ownership_table> create(const model::shard_map& map,
                                                  const model::instance_view& view,
                                                  ownership_policy policy);

    /// The table for the same shard map and another view. Only groups that an instance left or
    /// joined get new owners; the other groups share their owner lists with this table. In direct
    /// mode all groups get new owners.
    [[nodiscard]] ownership_table with_view(const model::instance_view& view) const;

    [[nodiscard]] model::revision map_revision() const;
    [[nodiscard]] std::span<const shard_group> groups() const;
    /// The position in groups(); absent if the shard is unknown.
    [[nodiscard]] std::optional<std::size_t> group_of(const model::shard_ref& shard) const;
    /// The owners of a group in the order of preference, or sorted by id in direct mode; empty if
    /// no instance is working. Precondition: group < groups().size(). Valid while this table lives.
    [[nodiscard]] std::span<const model::instance_id> owners(std::size_t group) const;
    /// The owners of the shard's group; empty if the shard is unknown.
    [[nodiscard]] std::span<const model::instance_id> owners_of(
        const model::shard_ref& shard) const;
    /// The positions of the groups that an instance owns.
    [[nodiscard]] std::vector<std::size_t> groups_of(const model::instance_id& instance) const;
    /// The backend servers that an instance may send to, sorted.
    [[nodiscard]] std::vector<model::server_id> servers_of(
        const model::instance_id& instance) const;
    /// The quota that each owner of a backend server has: an equal part of its slots, and an equal
    /// part of its connections after one more part is reserved for changes of ownership. Each
    /// part is at least 1, so the quotas can exceed the limits in direct mode. Absent if `instance`
    /// does not own the backend server.
    [[nodiscard]] std::optional<server_quota> quota_of(const model::instance_id& instance,
                                                       const model::server_id& server) const;

    friend bool operator==(const ownership_table& a, const ownership_table& b);

private:
    struct layout;
    using owner_list = std::vector<model::instance_id>;
    struct group_owners {
        std::shared_ptr<const owner_list> owners;
        /// The score of the last owner; an instance with a higher score becomes an owner.
        std::uint64_t lowest_score = 0;
    };

    [[nodiscard]] group_owners choose_owners(std::size_t group) const;
    [[nodiscard]] bool is_affected(std::size_t group, std::span<const model::instance_id> removed,
                                   std::span<const std::uint64_t> added_hashes) const;
    void set_working_instances(std::vector<model::instance_id> working);
    void assign_all_owners();

    std::shared_ptr<const layout> layout_;
    /// Sorted by id.
    std::shared_ptr<const owner_list> working_instances_;
    std::vector<std::uint64_t> working_instance_hashes_;
    /// One for each group.
    std::vector<group_owners> owners_by_group_;
};

}  // namespace poplarfront::membership
