#pragma once

#include <cstdint>

#include "routing/routing_context.h"

namespace poplarfront::routing {

/// Owns the state that the calls and sessions of one traffic thread share. Not thread-safe.
struct routing_state {
    /// `seed`: seed of the random choices; equal seeds give equal choices.
    explicit routing_state(std::uint64_t seed) : random(seed) {}

    /// References to the members; valid during the lifetime of this object.
    [[nodiscard]] routing_context context() {
        return {policy,      replicas,   attempt_budget, attempt_hedge, owners, batch_budget,
                batch_hedge, quarantine, versions,       counters,      random};
    }

    routing_policy policy;
    replica_stats replicas;
    retry::retry_budget attempt_budget{attempt_budget_options()};
    retry::hedge_policy attempt_hedge;
    owner_stats owners;
    retry::retry_budget batch_budget{batch_budget_options()};
    retry::hedge_policy batch_hedge{batch_hedge_options()};
    crash_quarantine quarantine;
    snapshot::version_tracker versions;
    routing_counters counters;
    kernel::seeded_random_source random;
};

}  // namespace poplarfront::routing
