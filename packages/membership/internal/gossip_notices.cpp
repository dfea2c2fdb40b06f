#include "membership/gossip_notices.h"

#include <algorithm>
#include <utility>

namespace poplarfront::membership {
namespace {

constexpr std::chrono::milliseconds max_draining_time = std::chrono::minutes{10};
// A notice gains the transit time on each hop; only a clearly later end is a new notice.
constexpr kernel::duration draining_renewal = std::chrono::seconds{5};

}  // namespace

bool gossip_notices::add_draining(const draining_notice& notice, kernel::time_point now) {
    const auto until = now + std::min(notice.remaining, max_draining_time);
    const auto it = draining_.find(notice.server);
    const bool known = it != draining_.end();
    const bool full = !known && draining_.size() >= options_.max_draining_servers;
    const bool renewal = !known || until >= it->second + draining_renewal;
    if (until <= now || full || !renewal) {
        return false;
    }
    draining_changed_ = draining_changed_ || !known;
    draining_[notice.server] = until;
    draining_news_.push(notice.server);
    return true;
}

bool gossip_notices::add_quarantined(std::uint64_t fingerprint) {
    if (!quarantined_.insert(fingerprint).second) {
        return false;
    }
    quarantined_order_.push_back(fingerprint);
    if (quarantined_order_.size() > options_.max_quarantined_queries) {
        quarantined_.erase(quarantined_order_.front());
        quarantined_news_.erase(quarantined_order_.front());
        quarantined_order_.erase(quarantined_order_.begin());
    }
    new_quarantined_.push_back(fingerprint);
    quarantined_news_.push(fingerprint);
    return true;
}

void gossip_notices::expire(kernel::time_point now) {
    const auto ended = std::erase_if(draining_, [&](const auto& it) { return it.second <= now; });
    draining_changed_ = draining_changed_ || ended > 0;
}

std::optional<std::vector<model::server_id>> gossip_notices::take_changed_draining() {
    if (!std::exchange(draining_changed_, false)) {
        return std::nullopt;
    }
    std::vector<model::server_id> servers;
    std::transform(draining_.begin(), draining_.end(), std::back_inserter(servers),
                   [](const auto& it) { return it.first; });
    return servers;
}

std::vector<std::uint64_t> gossip_notices::take_new_quarantined() {
    return std::exchange(new_quarantined_, {});
}

}  // namespace poplarfront::membership
