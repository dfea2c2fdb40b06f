#pragma once

#include <map>
#include <optional>
#include <vector>

#include "kernel/concepts.h"
#include "membership/gossip_message.h"

namespace poplarfront::membership {

/// What an update did to the table.
enum class merge_outcome {
    /// Nothing new.
    unchanged,
    /// Refused: about an older incarnation.
    stale,
    changed,
    /// Another instance reports a failure that this one has not seen; the suspicion time must pass
    /// before the row is failed.
    unconfirmed_failure,
};

/// The rows of all other instances and the rules by which an update changes a row:
/// a higher incarnation wins; in one incarnation alive < suspect < leaving < failed; a process that
/// was leaving never becomes alive again.
///
/// Thread safety: used on one thread.
class member_rows {
public:
    struct row {
        model::instance_info info;
        /// The process was seen leaving; stays set while process_start is the same.
        bool was_leaving = false;
        /// Set when the row is failed: when it is removed.
        kernel::time_point purge_at;
    };

    merge_outcome merge(const model::instance_info& update);

    /// Changes the status of a known row. Returns whether it was another one.
    bool set_status(const model::instance_id& id, model::instance_status status);
    void set_purge_time(const model::instance_id& id, kernel::time_point at);
    /// Removes the failed rows whose time is over, and the oldest ones above `max_failed`.
    /// Returns whether there were any.
    bool purge(kernel::time_point now, std::size_t max_failed);

    /// Null if the instance is unknown. Valid until the row is purged.
    [[nodiscard]] const row* find(const model::instance_id& id) const;
    /// Instances to exchange gossip with: all that are not failed.
    [[nodiscard]] const std::vector<const row*>& reachable() const;
    [[nodiscard]] const std::vector<const row*>& failed() const;
    [[nodiscard]] const std::map<model::instance_id, row>& all() const { return rows_; }
    [[nodiscard]] std::size_t size() const { return rows_.size(); }

private:
    void index() const;
    merge_outcome merge_known(row& known, const model::instance_info& update);

    std::map<model::instance_id, row> rows_;
    mutable bool indexed_ = false;
    mutable std::vector<const row*> reachable_;
    mutable std::vector<const row*> failed_;
};

}  // namespace poplarfront::membership
