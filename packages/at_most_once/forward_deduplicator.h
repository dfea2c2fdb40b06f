#pragma once

#include <deque>
#include <string>
#include <unordered_set>
#include <utility>

#include "kernel/concepts.h"

namespace poplarfront::at_most_once {

/// Remembers the forwarded actions that a home has accepted. A forward that arrives twice must be
/// dropped: its first session may have answered `not_run` while the second one would run.
///
/// Thread safety: used on one thread.
class forward_deduplicator {
public:
    /// `retention` must exceed the longest deadline and delay of a message.
    explicit forward_deduplicator(kernel::duration retention) : retention_(retention) {}

    /// Whether this forward arrives for the first time. `forward` names the message: its sender,
    /// the sender's incarnation and the message id.
    bool accept(const std::string& forward, kernel::time_point now) {
        while (!order_.empty() && order_.front().first + retention_ < now) {
            seen_.erase(order_.front().second);
            order_.pop_front();
        }
        if (!seen_.insert(forward).second) {
            return false;
        }
        order_.emplace_back(now, forward);
        return true;
    }

    [[nodiscard]] std::size_t size() const { return seen_.size(); }

private:
    kernel::duration retention_;
    std::unordered_set<std::string> seen_;
    std::deque<std::pair<kernel::time_point, std::string>> order_;
};

}  // namespace poplarfront::at_most_once
