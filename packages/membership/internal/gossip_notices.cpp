#include "membership/gossip_notices.h"

#include <algorithm>
#include <utility>

namespace poplarfront::membership {
namespace {

constexpr std::chrono::milliseconds max_draining_validity = std::chrono::minutes{10};
// Messages carry the remaining validity, so each hop moves the end of a notice by the transit time.
// Only a clearly later end extends a notice.
constexpr kernel::duration min_extension = std::chrono::seconds{5};

}  // namespace

bool gossip_notices::add_draining(const draining_notice& notice, kernel::time_point now) {
    const auto until = now + std::min(notice.remaining, max_draining_validity);
    const auto it = draining_.find(notice.server);
    const bool known = it != draining_.end();
    const bool full = !known && draining_.size() >= options_.max_draining_servers;
    const bool new_or_extended = !known || until >= it->second + min_extension;
    if (until <= now || full || !new_or_extended) {
        return false;
    }
    draining_changed_ = draining_changed_ || !known;
    draining_[notice.server] = until;
    draining_queue_.push(notice.server);
    return true;
}

bool gossip_notices::add_quarantined(std::uint64_t fingerprint) {
    if (!quarantined_.insert(fingerprint).second) {
        return false;
    }
    quarantined_by_age_.push_back(fingerprint);
    if (quarantined_by_age_.size() > options_.max_quarantined_queries) {
        quarantined_.erase(quarantined_by_age_.front());
        quarantined_queue_.erase(quarantined_by_age_.front());
        quarantined_by_age_.erase(quarantined_by_age_.begin());
    }
    new_quarantined_.push_back(fingerprint);
    quarantined_queue_.push(fingerprint);
    return true;
}

void gossip_notices::expire(kernel::time_point now) {
    const auto expired = std::erase_if(draining_, [&](const auto& it) { return it.second <= now; });
    draining_changed_ = draining_changed_ || expired > 0;
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
