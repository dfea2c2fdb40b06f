#pragma once

#include <map>
#include <optional>
#include <vector>

#include "kernel/concepts.h"
#include "membership/gossip_message.h"

namespace poplarfront::membership {

/// The effect of an update on the table.
enum class merge_outcome {
    /// The update contains nothing new.
    unchanged,
    /// The update is about an older incarnation and is ignored.
    stale,
    changed,
    /// Another instance reports as failed a row that is not suspect here: the row becomes failed
    /// only after the suspicion timeout.
    unconfirmed_failure,
};

/// The rows of all other instances, and the rules by which an update changes a row: a higher
/// incarnation takes precedence; within one incarnation the order is alive < suspect < leaving <
/// failed, except that a reported failure takes effect only on a suspect row (see
/// unconfirmed_failure); a process that has been leaving never becomes alive again.
///
/// Thread safety: used on one thread.
class member_rows {
public:
    struct row {
        model::instance_info info;
        /// Whether the process has been leaving; kept while process_start is the same.
        bool was_leaving = false;
        /// When a failed row is removed.
        kernel::time_point purge_at;
    };

    merge_outcome merge(const model::instance_info& update);

    /// Sets the status of a known row. Returns whether it changed.
    bool set_status(const model::instance_id& id, model::instance_status status);
    void set_purge_time(const model::instance_id& id, kernel::time_point at);
    /// Removes the failed rows whose purge time has come, and of the others those with the earliest
    /// purge times while there are more than `max_failed`. Returns whether any row was removed.
    bool purge(kernel::time_point now, std::size_t max_failed);

    /// Null if the instance is unknown. Valid until the row is purged.
    [[nodiscard]] const row* find(const model::instance_id& id) const;
    /// The rows of the instances to exchange gossip with: all that are not failed.
    [[nodiscard]] const std::vector<const row*>& not_failed() const;
    [[nodiscard]] const std::vector<const row*>& failed() const;
    [[nodiscard]] const std::map<model::instance_id, row>& all() const { return rows_; }
    [[nodiscard]] std::size_t size() const { return rows_.size(); }

private:
    void update_index() const;
    merge_outcome merge_known(row& known, const model::instance_info& update);

    std::map<model::instance_id, row> rows_;
    mutable bool index_valid_ = false;
    mutable std::vector<const row*> not_failed_;
    mutable std::vector<const row*> failed_;
};

}  // namespace poplarfront::membership
