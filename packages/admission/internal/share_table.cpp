#include "admission/share_table.h"

#include <algorithm>

namespace poplarfront::admission {

std::optional<share_key> share_table::find(const model::searcher_id& searcher,
                                           std::span<const model::service_id> services) const {
    if (services.size() == 1) {
        const share_key exact{searcher, services.front()};
        if (shares.contains(exact)) {
            return exact;
        }
    }
    for (const auto& key : {share_key{searcher, std::nullopt}, share_key{}}) {
        if (shares.contains(key)) {
            return key;
        }
    }
    return std::nullopt;
}

share_table share_table::divided(std::size_t instances) const {
    auto divided_table = *this;
    const auto count = static_cast<double>(instances);
    for (auto& [key, divided_share] : divided_table.shares) {
        divided_share.rate /= count;
        // A policy that refuses requests without tokens needs a burst of at least the cost of one
        // request, 1 by default.
        divided_share.burst = std::max(divided_share.burst / count, 1.0);
    }
    return divided_table;
}

}  // namespace poplarfront::admission
