#pragma once

#include <deque>
#include <string>
#include <unordered_set>
#include <utility>

#include "kernel/concepts.h"

namespace poplarfront::at_most_once {

/// Detects duplicates of forwarded actions on their home instance. A duplicate must be dropped: the
/// session of the first copy may have answered `not_run`, and the second copy would run the action.
///
/// Thread safety: used on one thread.
class forward_deduplicator {
public:
    /// `retention` must exceed the longest time until the deadline of a forwarded action plus the
    /// longest delay of a message.
    explicit forward_deduplicator(kernel::duration retention) : retention_(retention) {}

    /// Records the arrival of a forwarded action. Returns false if `forward_id` has already arrived
    /// within `retention`. `forward_id` identifies the message: its sender, the sender's
    /// incarnation and the message id.
    bool accept(const std::string& forward_id, kernel::time_point now) {
        while (!arrivals_.empty() && arrivals_.front().first + retention_ < now) {
            seen_.erase(arrivals_.front().second);
            arrivals_.pop_front();
        }
        if (!seen_.insert(forward_id).second) {
            return false;
        }
        arrivals_.emplace_back(now, forward_id);
        return true;
    }

    [[nodiscard]] std::size_t size() const { return seen_.size(); }

private:
    kernel::duration retention_;
    std::unordered_set<std::string> seen_;
    std::deque<std::pair<kernel::time_point, std::string>> arrivals_;
};

}  // namespace poplarfront::at_most_once
