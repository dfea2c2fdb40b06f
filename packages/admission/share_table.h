#pragma once

#include <map>
#include <optional>
#include <span>

#include "model/identifier.h"

namespace poplarfront::admission {

/// How much service one searcher gets.
struct share {
    /// Cost per second that the searcher gets whenever it asks for it.
    double rate = 0.0;
    /// Part of the capacity that the guaranteed rates leave free, relative to other weights; above
    /// zero.
    double weight = 1.0;
    /// Cost that may be used at once after a quiet time.
    double burst = 1.0;
    /// Requests that may wait.
    std::size_t queue = 64;
    friend auto operator<=>(const share&, const share&) = default;
};

/// Whom a share is for. Without a service: all services that have no share of their own; without a
/// searcher: all searchers that have no share of their own, together.
struct share_key {
    std::optional<model::searcher_id> searcher;
    std::optional<model::service_id> service;
    friend auto operator<=>(const share_key&, const share_key&) = default;
};

/// The shares in force. Immutable when published.
struct share_table {
    std::map<share_key, share> shares;

    /// The most specific share that covers all of the services: of searcher and service if there is
    /// one service, of the searcher, the default. Nothing if there is none.
    [[nodiscard]] std::optional<share_key> find(const model::searcher_id& searcher,
                                                std::span<const model::service_id> services) const;
    /// The part of each of `instances` instances. Precondition: `instances` > 0.
    [[nodiscard]] share_table divided(std::size_t instances) const;
    friend auto operator<=>(const share_table&, const share_table&) = default;
};

}  // namespace poplarfront::admission
