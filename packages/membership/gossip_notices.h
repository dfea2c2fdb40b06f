#pragma once

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "kernel/concepts.h"
#include "membership/dissemination_queue.h"
#include "membership/gossip_message.h"
#include "membership/member_options.h"

namespace poplarfront::membership {

/// Notices that instances exchange by gossip in addition to the membership: draining backend
/// servers, until the notices expire, and fingerprints of quarantined queries.
///
/// Thread safety: used on one thread.
class gossip_notices {
public:
    explicit gossip_notices(const member_options& options) : options_(options) {}

    /// Returns whether the notice was added, or extended a known one by at least 5 s. Ignores
    /// expired notices, and new ones while there are max_draining_servers.
    bool add_draining(const draining_notice& notice, kernel::time_point now);
    /// Returns whether the fingerprint is new.
    bool add_quarantined(std::uint64_t fingerprint);
    /// Removes the draining notices that have expired.
    void expire(kernel::time_point now);

    /// The draining backend servers, sorted, if they changed since the last call.
    std::optional<std::vector<model::server_id>> take_changed_draining();
    /// The fingerprints added since the last call.
    std::vector<std::uint64_t> take_new_quarantined();

    /// Appends pending notices to `message` until `reserve(bytes)` returns false, which it does
    /// when the message has no space left. Each notice is sent at most `limit` times.
    template <class Reserve>
    void write(gossip_message& message, std::uint32_t limit, kernel::time_point now,
               Reserve reserve) {
        draining_queue_.take(limit, [&](const auto& server) {
            const auto it = draining_.find(server);
            if (it == draining_.end() || it->second <= now) {
                return true;
            }
            const bool fit = reserve(server.text().size() + draining_bytes);
            if (fit) {
                const auto remaining = it->second - now;
                message.draining.push_back(
                    {server, std::chrono::duration_cast<std::chrono::milliseconds>(remaining)});
            }
            return fit;
        });
        quarantined_queue_.take(limit, [&](std::uint64_t fingerprint) {
            const bool fit = reserve(quarantined_bytes);
            if (fit) {
                message.quarantined.push_back(fingerprint);
            }
            return fit;
        });
    }

private:
    // Encoded sizes, without the id of the backend server.
    static constexpr std::size_t draining_bytes = 12;
    static constexpr std::size_t quarantined_bytes = 9;

    member_options options_;
    std::map<model::server_id, kernel::time_point> draining_;
    dissemination_queue<model::server_id> draining_queue_;
    bool draining_changed_ = false;
    std::set<std::uint64_t> quarantined_;
    std::vector<std::uint64_t> quarantined_by_age_;
    std::vector<std::uint64_t> new_quarantined_;
    dissemination_queue<std::uint64_t> quarantined_queue_;
};

}  // namespace poplarfront::membership
