#pragma once

#include <cstdint>
#include <map>
#include <string_view>

#include "configuration/section_error.h"
#include "kernel/result.h"
#include "model/identifier.h"
#include "model/shard_map.h"

namespace poplarfront::configuration {

/// How much service a searcher gets.
struct share {
    /// Part of the capacity beyond the guarantees, relative to the weights of other searchers.
    std::uint32_t weight = 1;
    /// Requests per second that are never refused in favour of other searchers.
    std::uint32_t guaranteed_per_s = 0;
    /// Requests above the guaranteed rate that may arrive at once.
    std::uint32_t burst = 100;
    friend auto operator<=>(const share&, const share&) = default;
};

/// A searcher's share of all services together, and of single services.
struct searcher_share {
    share total;
    std::map<model::service_id, share> services;
    friend auto operator<=>(const searcher_share&, const searcher_share&) = default;
};

/// The `shares` section.
struct shares {
    std::map<model::searcher_id, searcher_share> searchers;

    /// The searcher's share of all services together; the default share if it is not listed.
    [[nodiscard]] share total(const model::searcher_id& searcher) const;
    /// Null if the searcher has no share of its own for this service. Valid while this value lives.
    [[nodiscard]] const share* find_service_share(const model::searcher_id& searcher,
                                                  const model::service_id& service) const;
    friend auto operator<=>(const shares&, const shares&) = default;
};

/// Parses the `shares` section. Keys without a service apply to the searcher as a whole; the values
/// of a service that are not given are those of the searcher.
///
///     [searcher NAME]
///     weight = 1
///     guaranteed_per_s = 0
///     burst = 100
///     weight.SERVICE = 2
///
/// Errors: section_error with line, key and reason.
kernel::result<shares> parse_shares(std::string_view text);

/// Errors: section_error if `shares` names a service that `shards` does not have.
kernel::result<void> check_shares(const shares& shares, const model::shard_map& shards);

}  // namespace poplarfront::configuration
