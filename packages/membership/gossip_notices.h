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

/// What instances tell each other beside the membership: draining backend servers, until their
/// notices end, and fingerprints of quarantined queries.
///
/// Thread safety: used on one thread.
class gossip_notices {
public:
    explicit gossip_notices(const member_options& options) : options_(options) {}

    /// Returns whether it is news.
    bool add_draining(const draining_notice& notice, kernel::time_point now);
    /// Returns whether it is news.
    bool add_quarantined(std::uint64_t fingerprint);
    /// Forgets notices that have ended.
    void expire(kernel::time_point now);

    /// The draining backend servers, sorted, if they changed since the last call.
    std::optional<std::vector<model::server_id>> take_changed_draining();
    /// The fingerprints added since the last call.
    std::vector<std::uint64_t> take_new_quarantined();

    /// Adds what is still to be told to a message, while `fits(bytes)` is true. Each notice is told
    /// at most `limit` times.
    template <class Fits>
    void write(gossip_message& message, std::uint32_t limit, kernel::time_point now, Fits fits) {
        draining_news_.take(limit, [&](const auto& server) {
            const auto it = draining_.find(server);
            if (it == draining_.end() || it->second <= now) {
                return true;
            }
            const bool fit = fits(server.text().size() + draining_bytes);
            if (fit) {
                const auto left = it->second - now;
                message.draining.push_back(
                    {server, std::chrono::duration_cast<std::chrono::milliseconds>(left)});
            }
            return fit;
        });
        quarantined_news_.take(limit, [&](std::uint64_t fingerprint) {
            const bool fit = fits(quarantined_bytes);
            if (fit) {
                message.quarantined.push_back(fingerprint);
            }
            return fit;
        });
    }

private:
    // Encoded sizes without the name.
    static constexpr std::size_t draining_bytes = 12;
    static constexpr std::size_t quarantined_bytes = 9;

    member_options options_;
    std::map<model::server_id, kernel::time_point> draining_;
    dissemination_queue<model::server_id> draining_news_;
    bool draining_changed_ = false;
    std::set<std::uint64_t> quarantined_;
    std::vector<std::uint64_t> quarantined_order_;
    std::vector<std::uint64_t> new_quarantined_;
    dissemination_queue<std::uint64_t> quarantined_news_;
};

}  // namespace poplarfront::membership
