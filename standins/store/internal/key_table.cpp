#include "standins/store/internal/key_table.h"

#include <algorithm>
#include <vector>

namespace poplarfront::standins {

store::store_value key_table::read(const std::string& key) const {
    const auto found = entries_.find(key);
    return found == entries_.end() ? store::store_value{} : found->second.value;
}

store::write_outcome key_table::write(const std::string& key, std::optional<std::uint64_t> expected,
                                      std::string bytes, std::optional<lease_id> lease) {
    const auto current = read(key).version;
    if (expected && *expected != current) {
        return {store::store_status::conflict, current};
    }
    unbind(key);
    entries_[key] = entry{{std::move(bytes), ++version_}, lease};
    if (lease) {
        leases_.at(*lease).keys.insert(key);
    }
    wake(key);
    return {store::store_status::ok, version_};
}

key_table::lease_id key_table::add_lease(kernel::duration ttl, kernel::time_point now) {
    leases_[++last_lease_] = lease_entry{ttl, now + ttl, {}};
    return last_lease_;
}

bool key_table::renew(lease_id lease, kernel::time_point now) {
    const auto found = leases_.find(lease);
    if (found == leases_.end()) {
        return false;
    }
    found->second.expiry = now + found->second.ttl;
    return true;
}

bool key_table::end_lease(lease_id lease) {
    const auto found = leases_.find(lease);
    if (found == leases_.end()) {
        return false;
    }
    const auto keys = std::move(found->second.keys);
    leases_.erase(found);
    for (const auto& key : keys) {
        entries_.erase(key);
        wake(key);
    }
    return true;
}

std::size_t key_table::expire(kernel::time_point now) {
    std::vector<lease_id> expired;
    for (const auto& [id, lease] : leases_) {
        if (lease.expiry <= now) {
            expired.push_back(id);
        }
    }
    for (const auto id : expired) {
        end_lease(id);
    }
    return expired.size();
}

std::optional<kernel::time_point> key_table::next_expiry() const {
    std::optional<kernel::time_point> next;
    for (const auto& [id, lease] : leases_) {
        next = std::min(next.value_or(lease.expiry), lease.expiry);
    }
    return next;
}

void key_table::wake_all() {
    for (auto& [key, waiters] : waiters_) {
        waiters.changed.notify_all();
    }
}

void key_table::wake(const std::string& key) {
    const auto found = waiters_.find(key);
    if (found != waiters_.end()) {
        found->second.changed.notify_all();
    }
}

void key_table::unbind(const std::string& key) {
    const auto found = entries_.find(key);
    if (found == entries_.end() || !found->second.lease) {
        return;
    }
    const auto lease = leases_.find(*found->second.lease);
    if (lease != leases_.end()) {
        lease->second.keys.erase(key);
    }
}

}  // namespace poplarfront::standins
