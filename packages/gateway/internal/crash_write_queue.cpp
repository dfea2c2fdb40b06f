#include "gateway/crash_write_queue.h"

#include <algorithm>
#include <tuple>

namespace poplarfront::gateway {
namespace {

bool contains(const crash_table& table, const crash_record& record) {
    const auto it = table.requests.find(record.fingerprint);
    return it != table.requests.end() && it->second.crashes.contains(record);
}

/// Moves elements from `source` to `target` until `target_size` reaches `max_size`.
template <class Value>
void move_some(std::set<Value>& source, std::set<Value>& target, std::size_t& target_size,
               std::size_t max_size) {
    while (!source.empty() && target_size < max_size) {
        target.insert(source.extract(source.begin()));
        ++target_size;
    }
}

}  // namespace

std::set<crash_record> records_to_evict(const crash_table& stored, std::size_t max_requests) {
    if (stored.requests.size() < std::max<std::size_t>(1, max_requests)) {
        return {};
    }
    const auto victim = std::min_element(
        stored.requests.begin(), stored.requests.end(), [](const auto& a, const auto& b) {
            return std::tuple{a.second.crashes.size(), a.second.revision} <
                   std::tuple{b.second.crashes.size(), b.second.revision};
        });
    return victim->second.crashes;
}

void crash_write_queue::add(const crash_table_change& change, const crash_table& stored,
                            kernel::time_point now) {
    for (const auto& it : change.added) {
        removals_.erase(it);
        if (additions_.size() < options_.max_pending) {
            additions_.emplace(it, now + options_.hold_time);
        }
    }
    if (removals_.empty() && trial_removals_.empty()) {
        removals_due_ = now;
    }
    for (const auto& it : change.removed) {
        const bool was_pending = additions_.erase(it) > 0;
        // A record that is neither pending nor known may be in a write whose result is not known.
        if (!was_pending || contains(stored, it)) {
            removals_.insert(it);
        }
    }
    trial_removals_.insert(change.removed_trials.begin(), change.removed_trials.end());
}

std::optional<kernel::time_point> crash_write_queue::next_due() const {
    std::optional<kernel::time_point> due;
    if (!removals_.empty() || !trial_removals_.empty()) {
        due = removals_due_;
    }
    for (const auto& [record, at] : additions_) {
        due = due ? std::min(*due, at) : at;
    }
    return due;
}

crash_table_change crash_write_queue::take(kernel::time_point now) {
    crash_table_change taken;
    std::size_t n = 0;
    for (auto it = additions_.begin(); it != additions_.end() && n < options_.max_batch;) {
        if (it->second > now) {
            ++it;
            continue;
        }
        taken.added.insert(it->first);
        it = additions_.erase(it);
        ++n;
    }
    move_some(removals_, taken.removed, n, options_.max_batch);
    move_some(trial_removals_, taken.removed_trials, n, options_.max_batch);
    return taken;
}

void crash_write_queue::put_back(const crash_table_change& change, kernel::time_point now) {
    for (const auto& it : change.added) {
        if (!removals_.contains(it) && additions_.size() < options_.max_pending) {
            additions_.emplace(it, now);
        }
    }
    for (const auto& it : change.removed) {
        if (!additions_.contains(it)) {
            removals_.insert(it);
        }
    }
    trial_removals_.insert(change.removed_trials.begin(), change.removed_trials.end());
    removals_due_ = now;
}

}  // namespace poplarfront::gateway
