#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <vector>

#include "kernel/concepts.h"
#include "model/identifier.h"

namespace poplarfront::routing {

/// Tracks the outstanding batches and the overdue answers of each owner, and orders owners by them.
/// Used by the entry instance. Not thread-safe.
class owner_stats {
public:
    void on_sent(const model::instance_id& owner) { ++owners_[owner].outstanding; }

    /// Records the end of a batch that was cancelled or abandoned.
    void on_ended(const model::instance_id& owner) {
        auto& state = owners_[owner];
        state.outstanding -= state.outstanding > 0 ? 1 : 0;
    }

    /// Records the end of a batch that was answered.
    void on_answered(const model::instance_id& owner, kernel::time_point now) {
        on_ended(owner);
        auto& state = owners_[owner];
        state.overdue_until = kernel::time_point::min();
        state.answered_at = now;
    }

    /// Whether the owner has answered nothing since `since`. An overloaded owner still answers some
    /// batches; a lost or frozen one answers none.
    [[nodiscard]] bool unresponsive_since(const model::instance_id& owner,
                                          kernel::time_point since) const {
        const auto it = owners_.find(owner);
        return it == owners_.end() || it->second.answered_at < since;
    }

    /// Records that an owner has not answered in time. It is the last choice for one second or
    /// until it answers, because resending batches of every query would soon use up the budget.
    void on_overdue(const model::instance_id& owner, kernel::time_point now) {
        constexpr auto lifetime = std::chrono::seconds{1};
        owners_[owner].overdue_until = now + lifetime;
    }

    [[nodiscard]] bool is_overdue(const model::instance_id& owner, kernel::time_point now) const {
        const auto it = owners_.find(owner);
        return it != owners_.end() && now < it->second.overdue_until;
    }

    [[nodiscard]] std::uint32_t outstanding(const model::instance_id& owner) const {
        const auto it = owners_.find(owner);
        return it == owners_.end() ? 0 : it->second.outstanding;
    }

    /// Sorts owners by preference: overdue ones last, then by increasing number of outstanding
    /// batches; equal ones keep their order.
    [[nodiscard]] std::vector<model::instance_id> sorted_by_preference(
        std::vector<model::instance_id> owners, kernel::time_point now) const {
        std::stable_sort(owners.begin(), owners.end(), [&](const auto& left, const auto& right) {
            return std::pair{is_overdue(left, now), outstanding(left)} <
                   std::pair{is_overdue(right, now), outstanding(right)};
        });
        return owners;
    }

private:
    struct owner_state {
        std::uint32_t outstanding = 0;
        kernel::time_point overdue_until = kernel::time_point::min();
        kernel::time_point answered_at = kernel::time_point::min();
    };

    std::map<model::instance_id, owner_state> owners_;
};

}  // namespace poplarfront::routing
