#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <utility>

#include "model/identifier.h"

namespace poplarfront::gateway {

/// Requests that wait until a backend server of a service has a free connection: the most urgent
/// first, among equals the one that waits longest. `Waiter` is a cheap handle. Not thread-safe.
template <class Waiter>
class wait_list {
public:
    /// Names a place in the list.
    struct entry_id {
        std::uint32_t priority = 0;
        std::uint64_t order = 0;
        friend auto operator<=>(const entry_id&, const entry_id&) = default;
    };

    entry_id add(const model::service_id& service, std::uint32_t priority, Waiter waiter) {
        const entry_id taken{priority, next_order_++};
        waiting_[service].emplace(taken, std::move(waiter));
        return taken;
    }

    /// Leaves the list. A ticket that was already taken is ignored.
    void remove(const model::service_id& service, const entry_id& entry_id) {
        const auto it = waiting_.find(service);
        if (it != waiting_.end()) {
            it->second.erase(entry_id);
            drop_if_empty(it);
        }
    }

    /// Takes the first waiter of a service; absent if there is none.
    std::optional<Waiter> take_first(const model::service_id& service) {
        const auto it = waiting_.find(service);
        if (it == waiting_.end()) {
            return std::nullopt;
        }
        auto first = std::move(it->second.begin()->second);
        it->second.erase(it->second.begin());
        drop_if_empty(it);
        return first;
    }

    [[nodiscard]] std::size_t size(const model::service_id& service) const {
        const auto it = waiting_.find(service);
        return it == waiting_.end() ? 0 : it->second.size();
    }

private:
    using service_queue = std::map<entry_id, Waiter>;
    using queues = std::map<model::service_id, service_queue>;

    void drop_if_empty(typename queues::iterator it) {
        if (it->second.empty()) {
            waiting_.erase(it);
        }
    }

    queues waiting_;
    std::uint64_t next_order_ = 0;
};

}  // namespace poplarfront::gateway
