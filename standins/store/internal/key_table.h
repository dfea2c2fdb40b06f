#pragma once

#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "kernel/concepts.h"
#include "store/store_client.h"

namespace poplarfront::standins {

/// The keys, their versions and the leases. Used on one thread.
class key_table {
public:
    using lease_id = std::uint64_t;

    /// The value of a key; version 0 if it does not exist.
    [[nodiscard]] store::store_value read(const std::string& key) const;

    /// Writes if the version matches, or in any case without `expected`. The lease must exist.
    store::write_outcome write(const std::string& key, std::optional<std::uint64_t> expected,
                               std::string bytes, std::optional<lease_id> lease);

    lease_id add_lease(kernel::duration ttl, kernel::time_point now);
    [[nodiscard]] bool has_lease(lease_id lease) const { return leases_.contains(lease); }
    /// False if the lease has ended.
    bool renew(lease_id lease, kernel::time_point now);
    /// Removes the lease and its keys. False if it has ended before.
    bool end_lease(lease_id lease);
    /// Ends all leases that have expired; returns how many.
    std::size_t expire(kernel::time_point now);
    /// When the next lease expires.
    [[nodiscard]] std::optional<kernel::time_point> next_expiry() const;

    /// Suspends the calling fiber until the version of `key` differs from `version`, `interrupted`
    /// holds after wake_all(), or the time has come.
    template <class Interrupted>
    void wait_for_change(const std::string& key, std::uint64_t version, kernel::time_point until,
                         const Interrupted& interrupted) {
        auto& waiters = waiters_[key];
        ++waiters.count;
        {
            std::unique_lock lock{mutex_};
            waiters.changed.wait_until(
                lock, until, [&] { return interrupted() || read(key).version != version; });
        }
        if (--waiters.count == 0) {
            waiters_.erase(key);
        }
    }

    /// Wakes all fibers in wait_for_change.
    void wake_all();

private:
    struct entry {
        store::store_value value;
        std::optional<lease_id> lease;
    };
    struct lease_entry {
        kernel::duration ttl{};
        kernel::time_point expiry;
        std::set<std::string> keys;
    };
    struct waiting {
        boost::fibers::condition_variable changed;
        std::size_t count = 0;
    };

    void wake(const std::string& key);
    void unbind(const std::string& key);

    std::uint64_t version_ = 0;
    lease_id last_lease_ = 0;
    std::map<std::string, entry> entries_;
    std::map<lease_id, lease_entry> leases_;
    std::map<std::string, waiting> waiters_;
    boost::fibers::mutex mutex_;
};

}  // namespace poplarfront::standins
