#pragma once

#include <cstddef>
#include <map>
#include <optional>

#include "gateway/crash_record.h"

namespace poplarfront::gateway {

struct crash_write_queue_options {
    /// Delay of an addition. Most lost connections that are not caused by the request are disproved
    /// in this time by replies, and are then never written.
    kernel::duration hold_time = std::chrono::milliseconds{700};
    /// Maximum number of entries in one call to the store.
    std::size_t max_batch = 32;
    /// Maximum number of additions that wait. Further ones are dropped.
    std::size_t max_pending = 1000;
};

/// The records to remove when the store holds those of `max_requests` requests or more: those of
/// the request with the fewest crashes, and among equals the one that changed first. Most of them
/// are crashes that the request did not cause. Thread-safe.
[[nodiscard]] std::set<crash_record> records_to_evict(const crash_table& stored,
                                                      std::size_t max_requests);

/// Collects changes to the common records of crashes until they are written to the store.
///
/// Not thread-safe; used by the control thread.
class crash_write_queue {
public:
    explicit crash_write_queue(crash_write_queue_options options = {}) : options_(options) {}

    /// `stored`: the records that the store contains as far as it is known.
    void add(const crash_table_change& change, const crash_table& stored, kernel::time_point now);

    /// Time of the next take(); absent if nothing waits.
    [[nodiscard]] std::optional<kernel::time_point> next_due() const;

    /// Removes and returns the changes that are due, up to the size of one batch.
    [[nodiscard]] crash_table_change take(kernel::time_point now);

    /// Puts back the changes of a write that has failed, unless later ones revoke them.
    void put_back(const crash_table_change& change, kernel::time_point now);

private:
    crash_write_queue_options options_;
    std::map<crash_record, kernel::time_point> additions_;
    std::set<crash_record> removals_;
    std::set<crash_trial> trial_removals_;
    kernel::time_point removals_due_{};
};

}  // namespace poplarfront::gateway
