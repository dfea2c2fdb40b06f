#pragma once

#include <cstdint>

#include "kernel/clock_and_random_sources.h"
#include "retry/backoff.h"
#include "retry/hedge_policy.h"
#include "retry/retry_budget.h"
#include "routing/crash_quarantine.h"
#include "routing/owner_stats.h"
#include "routing/replica_stats.h"
#include "snapshot/version_tracker.h"

namespace poplarfront::routing {

/// Sums since the start of a traffic thread.
struct routing_counters {
    std::uint64_t primaries = 0;
    std::uint64_t hedges = 0;
    std::uint64_t retries = 0;
    /// Extra requests put off because the budget was empty.
    std::uint64_t budget_denials = 0;
    /// Replies and results that matched no open attempt or batch.
    std::uint64_t dropped_replies = 0;
    std::uint64_t batches = 0;
    std::uint64_t batch_resends = 0;
    std::uint64_t restarts = 0;
    std::uint64_t canaries = 0;
    friend auto operator<=>(const routing_counters&, const routing_counters&) = default;
};

/// The budgets of attempts and of batches add up to 5% of primaries, or 10% while failures are
/// observed: a resent batch repeats all its shards.
inline retry::retry_budget_options attempt_budget_options() {
    return {.steady_ratio = 0.04, .fault_ratio = 0.08};
}

/// See attempt_budget_options().
inline retry::retry_budget_options batch_budget_options() {
    return {.steady_ratio = 0.01, .fault_ratio = 0.02, .burst = 5, .reserve = 3};
}

/// Owners hedge slow attempts themselves, so a batch is resent only when its owner is slow.
inline retry::hedge_policy_options batch_hedge_options() {
    return {.quantile = 0.99,
            .min_delay = std::chrono::milliseconds{10},
            .max_delay = std::chrono::milliseconds{100},
            .initial_delay = std::chrono::milliseconds{50}};
}

/// Rules of the search path. The switches are on in every deployment; tests turn one off to show
/// that they detect its absence.
struct routing_policy {
    /// Attempts per shard and pin, the primary included; at most 8.
    std::uint32_t max_attempts = 4;
    retry::backoff retry_backoff;
    /// Restarts of one query on another pin.
    std::uint32_t max_restarts = 3;
    /// How long a query whose pin cannot be served waits for a newer one, and how often it looks.
    kernel::duration restart_timeout = std::chrono::milliseconds{20};
    kernel::duration restart_poll_interval = std::chrono::milliseconds{2};
    /// Shards from which on a query that is not known to be good starts with a canary.
    std::size_t min_shards_for_canary = 8;
    kernel::duration canary_timeout = std::chrono::milliseconds{5};
    /// An owner that has answered nothing for this long counts as lost. Its batches are sent to the
    /// next owners on the reserve of the budget: without it hedges used up the tokens, and a query
    /// of a quiet instance timed out beside a frozen owner.
    kernel::duration failover_after = std::chrono::milliseconds{100};
    /// Time kept back from the owners, so that a partial result arrives before the deadline; at
    /// most a tenth of the remaining time.
    kernel::duration owner_deadline_margin = std::chrono::milliseconds{5};

    bool match_identity = true;
    bool match_version = true;
    bool report_missing = true;
    bool avoid_draining = true;
    bool use_quarantine = true;

    friend auto operator<=>(const routing_policy&, const routing_policy&) = default;
};

/// The long-lived objects of a traffic thread that its calls and sessions share. All must outlive
/// them.
struct routing_context {
    const routing_policy& policy;
    replica_stats& replicas;
    /// For attempts of the owner.
    retry::retry_budget& attempt_budget;
    retry::hedge_policy& attempt_hedge;
    owner_stats& owners;
    /// For batches of the entry instance.
    retry::retry_budget& batch_budget;
    retry::hedge_policy& batch_hedge;
    crash_quarantine& quarantine;
    snapshot::version_tracker& versions;
    routing_counters& counters;
    kernel::seeded_random_source& random;
};

}  // namespace poplarfront::routing
