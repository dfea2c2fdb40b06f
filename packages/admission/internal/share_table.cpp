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
    auto part = *this;
    const auto n = static_cast<double>(instances);
    for (auto& [key, it] : part.shares) {
        it.rate /= n;
        // A burst below one request would never let a request have its guaranteed turn.
        it.burst = std::max(it.burst / n, 1.0);
    }
    return part;
}

}  // namespace poplarfront::admission
