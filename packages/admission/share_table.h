#pragma once

#include <map>
#include <optional>
#include <span>

#include "model/identifier.h"

namespace poplarfront::admission {

/// The guaranteed rate, weight and queue length of the requests that a share_key covers.
struct share {
    /// Cost per second that is guaranteed while there are requests; an ordinary request costs 1.
    double rate = 0.0;
    /// Portion of the capacity that the guaranteed rates leave free, relative to other weights;
    /// above 0.
    double weight = 1.0;
    /// Cost that may be used at once after an idle period.
    double burst = 1.0;
    /// Maximum number of waiting requests.
    std::size_t queue = 64;
    friend auto operator<=>(const share&, const share&) = default;
};

/// The requests that a share applies to. Without a service, it applies to requests for several
/// services and for services that have no share of their own; without a searcher, all searchers
/// that have no share of their own use it together. A key with a service but no searcher is never
/// used.
struct share_key {
    std::optional<model::searcher_id> searcher;
    std::optional<model::service_id> service;
    friend auto operator<=>(const share_key&, const share_key&) = default;
};

/// The configured shares. Not modified after publication to other threads.
struct share_table {
    std::map<share_key, share> shares;

    /// The key of the most specific share that covers all of the services: the share of the
    /// searcher and the service if there is only one service, then the share of the searcher, then
    /// the default share. Nothing if there is none.
    [[nodiscard]] std::optional<share_key> find(const model::searcher_id& searcher,
                                                std::span<const model::service_id> services) const;
    /// The table of one of `instances` instances, with rates and bursts divided among them.
    /// Precondition: `instances` > 0.
    [[nodiscard]] share_table divided(std::size_t instances) const;
    friend auto operator<=>(const share_table&, const share_table&) = default;
};

}  // namespace poplarfront::admission
