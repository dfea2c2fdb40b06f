#pragma once

#include <cstdint>
#include <string_view>

#include "configuration/section_error.h"
#include "kernel/result.h"
#include "model/ownership_policy.h"
#include "model/shard_map.h"

namespace poplarfront::configuration {

using model::owner_mode;
using model::ownership_policy;

/// Limits the extra load on backend servers. Hedges and retries share one budget.
struct retry_policy {
    /// Hedges and retries allowed, in percent of the primary attempts.
    std::uint32_t steady_percent = 5;
    /// The same limit while failures are observed; at least steady_percent.
    std::uint32_t fault_percent = 10;
    /// Bounds of the hedge delay, which follows the observed 95th percentile of the latency.
    std::uint32_t minimum_delay_ms = 1;
    std::uint32_t maximum_delay_ms = 50;
    friend auto operator<=>(const retry_policy&, const retry_policy&) = default;
};

/// Limits the work that one instance accepts.
struct admission_policy {
    /// Upper bound of the adaptive concurrency limit.
    std::uint32_t max_in_flight = 1'000;
    /// The largest queue of one share, in requests.
    std::uint32_t max_queued = 1'000;
    friend auto operator<=>(const admission_policy&, const admission_policy&) = default;
};

/// Controls when a query that is not known to be safe is first sent to a single shard as a canary.
struct canary_policy {
    /// The minimum number of shards of a query that triggers a canary; 0 disables this criterion.
    std::uint32_t width = 8;
    /// The longest wait for the canary's result before the query is sent to the other shards.
    std::uint32_t wait_ms = 5;
    friend auto operator<=>(const canary_policy&, const canary_policy&) = default;
};

/// The `policy` section.
struct policy {
    retry_policy retry;
    admission_policy admission;
    ownership_policy ownership;
    canary_policy canary;
    friend auto operator<=>(const policy&, const policy&) = default;
};

/// Parses the `policy` section; each key has a range and a default.
///
///     [retry]      steady_percent, fault_percent, minimum_delay_ms, maximum_delay_ms
///     [admission]  max_in_flight, max_queued
///     [ownership]  mode (direct or owned), group_size, owners_per_group
///     [canary]     width, wait_ms
///
/// Errors: section_error with line, key and reason.
kernel::result<policy> parse_policy(std::string_view text);

/// Errors: section_error if a backend server of `shards` has fewer slots than a shard group has
/// owners in owned mode.
kernel::result<void> check_policy(const policy& policy, const model::shard_map& shards);

}  // namespace poplarfront::configuration
