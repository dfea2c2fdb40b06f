#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <vector>

#include "kernel/concepts.h"
#include "model/identifier.h"

namespace poplarfront::routing {

/// What an entry instance has observed of the owners. Not thread-safe.
class owner_stats {
public:
    void on_sent(const model::instance_id& owner) { ++rows_[owner].outstanding; }

    /// Ends a batch that was cancelled or given up.
    void on_ended(const model::instance_id& owner) {
        auto& row = rows_[owner];
        row.outstanding -= row.outstanding > 0 ? 1 : 0;
    }

    /// Ends a batch that was answered.
    void on_answered(const model::instance_id& owner, kernel::time_point now) {
        on_ended(owner);
        auto& row = rows_[owner];
        row.late_until = kernel::time_point::min();
        row.answered_at = now;
    }

    /// Whether the owner has answered nothing since `since`. An overloaded owner still answers some
    /// batches; a lost or frozen one answers none.
    [[nodiscard]] bool unresponsive_since(const model::instance_id& owner,
                                          kernel::time_point since) const {
        const auto it = rows_.find(owner);
        return it == rows_.end() || it->second.answered_at < since;
    }

    /// Takes note that an owner has not answered in time. It is the last choice for a second, or
    /// until it answers: resends for every query would soon use up the budget.
    void on_overdue(const model::instance_id& owner, kernel::time_point now) {
        constexpr auto lifetime = std::chrono::seconds{1};
        rows_[owner].late_until = now + lifetime;
    }

    [[nodiscard]] bool is_overdue(const model::instance_id& owner, kernel::time_point now) const {
        const auto it = rows_.find(owner);
        return it != rows_.end() && now < it->second.late_until;
    }

    [[nodiscard]] std::uint32_t outstanding(const model::instance_id& owner) const {
        const auto it = rows_.find(owner);
        return it == rows_.end() ? 0 : it->second.outstanding;
    }

    /// Owners that are not late first, those with the fewest batches outstanding before others;
    /// equal ones keep their order.
    [[nodiscard]] std::vector<model::instance_id> sorted_by_preference(
        std::vector<model::instance_id> owners, kernel::time_point now) const {
        std::stable_sort(owners.begin(), owners.end(), [&](const auto& left, const auto& right) {
            return std::pair{is_overdue(left, now), outstanding(left)} <
                   std::pair{is_overdue(right, now), outstanding(right)};
        });
        return owners;
    }

private:
    struct row {
        std::uint32_t outstanding = 0;
        kernel::time_point late_until = kernel::time_point::min();
        kernel::time_point answered_at = kernel::time_point::min();
    };

    std::map<model::instance_id, row> rows_;
};

}  // namespace poplarfront::routing
