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

/// Counters of one traffic thread since its start.
struct routing_counters {
    std::uint64_t primaries = 0;
    std::uint64_t hedges = 0;
    std::uint64_t retries = 0;
    /// Denials of extra requests, with repeated ones: the budget was empty, or a trial of the query
    /// was running.
    std::uint64_t budget_denials = 0;
    /// Replies and results that were dropped because they matched no open attempt or batch.
    std::uint64_t dropped_replies = 0;
    std::uint64_t batches = 0;
    std::uint64_t batch_resends = 0;
    std::uint64_t restarts = 0;
    std::uint64_t canaries = 0;
    friend auto operator<=>(const routing_counters&, const routing_counters&) = default;
};

/// The budgets of attempts and of batches together allow extra requests of 5% of the primaries, or
/// of 10% within the fault window. Batches get the smaller part, because a resent batch repeats all
/// its shards.
inline retry::retry_budget_options attempt_budget_options() {
    return {.steady_ratio = 0.04, .fault_ratio = 0.08};
}

/// The budget has a reserve for the batches of lost owners; see attempt_budget_options() for the
/// ratios.
inline retry::retry_budget_options batch_budget_options() {
    return {.steady_ratio = 0.01, .fault_ratio = 0.02, .burst = 5, .reserve = 3};
}

/// The delays are longer than those of attempts, because owners hedge slow attempts themselves and
/// a batch is resent only when its owner is slow.
inline retry::hedge_policy_options batch_hedge_options() {
    return {.quantile = 0.99,
            .min_delay = std::chrono::milliseconds{10},
            .max_delay = std::chrono::milliseconds{100},
            .initial_delay = std::chrono::milliseconds{50}};
}

/// Limits and time-outs of query execution. The bool members are true in every deployment; a test
/// sets each of them to false and checks that the simulation reports a violation.
struct routing_policy {
    /// Attempts per shard of a batch, including the primary; at most 8.
    std::uint32_t max_attempts = 4;
    retry::backoff retry_backoff;
    /// Restarts of one query on another snapshot.
    std::uint32_t max_restarts = 3;
    /// How long a query whose snapshot is unavailable waits for another one.
    kernel::duration restart_timeout = std::chrono::milliseconds{20};
    /// How often such a query is planned again.
    kernel::duration restart_poll_interval = std::chrono::milliseconds{2};
    /// A query with at least this many shards that is not known to be good is first sent to a
    /// single shard, the canary. For a query with crash symptoms two shards are enough.
    std::size_t min_shards_for_canary = 8;
    /// How long the other shards wait for the canary.
    kernel::duration canary_timeout = std::chrono::milliseconds{5};
    /// An owner that has answered nothing for this long counts as lost. Resends of its batches may
    /// use the reserve of the budget. Without the reserve, hedges use up all tokens, and queries
    /// of an instance with little traffic time out while an owner is frozen.
    kernel::duration failover_after = std::chrono::milliseconds{100};
    /// How much earlier than the query's deadline the deadline of the owners is, so that a partial
    /// result arrives in time; at most a tenth of the remaining time.
    kernel::duration owner_deadline_margin = std::chrono::milliseconds{5};

    /// Drops replies and results of another request, searcher, shard or backend server.
    bool match_identity = true;
    /// Rejects records of another index version than the pinned one.
    bool match_version = true;
    /// Lists the missing shards in an answer.
    bool report_missing = true;
    /// Sends no attempts to draining backend servers.
    bool avoid_draining = true;
    /// Refuses quarantined queries and sends canaries.
    bool use_quarantine = true;

    friend auto operator<=>(const routing_policy&, const routing_policy&) = default;
};

/// References to the state of a traffic thread that all its calls and sessions share. The objects
/// must outlive the calls and sessions.
struct routing_context {
    const routing_policy& policy;
    replica_stats& replicas;
    /// For the attempts that this instance sends as an owner.
    retry::retry_budget& attempt_budget;
    retry::hedge_policy& attempt_hedge;
    owner_stats& owners;
    /// For the batches that this instance sends as the entry instance.
    retry::retry_budget& batch_budget;
    retry::hedge_policy& batch_hedge;
    crash_quarantine& quarantine;
    snapshot::version_tracker& versions;
    routing_counters& counters;
    kernel::seeded_random_source& random;
};

}  // namespace poplarfront::routing
