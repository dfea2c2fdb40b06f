#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "daemon/backend_caller.h"
#include "daemon/peer_link.h"
#include "daemon/pending_batches.h"
#include "daemon/tier_state.h"
#include "kernel/sources.h"
#include "metrics/counter_set.h"
#include "metrics/latency_histogram.h"
#include "routing/query_plan.h"
#include "routing/routing_context.h"

namespace poplarfront::daemon {

/// What the workers of all traffic threads share.
struct search_environment {
    std::shared_ptr<const instance_identity> identity;
    std::function<std::shared_ptr<const tier_state>()> state;
    std::shared_ptr<peer_link> link;
    std::shared_ptr<pending_batches> pending;
    /// Called with a backend server that was seen draining.
    std::function<void(const model::server_id&)> on_draining;
    /// Called with a query that was put into quarantine.
    std::function<void(routing::query_fingerprint)> on_quarantined;
    std::size_t threads = 1;
};

/// Executes searches and sub-query batches on one traffic thread.
///
/// Thread safety: used on fibers of its thread only.
class search_worker : public std::enable_shared_from_this<search_worker> {
public:
    static std::shared_ptr<search_worker> create(std::shared_ptr<runtime::fiber_thread> thread,
                                                 search_environment environment);

    /// Executes a search as its entry instance. Suspends the fiber until there is an answer, at
    /// the latest at the deadline.
    model::search_answer search(const model::search_request& request);

    /// Executes a batch as an owner. Suspends the fiber until all shards have a result.
    routing::sub_query_result execute(const routing::sub_query_batch& batch);

    /// Ends a batch whose search no longer needs it.
    void cancel(const model::request_id& request, std::uint32_t batch);

    /// Takes a query that another instance has put into quarantine.
    void import_quarantined(routing::query_fingerprint query);

    [[nodiscard]] backend_caller& backends() { return backends_; }
    [[nodiscard]] const std::shared_ptr<runtime::fiber_thread>& thread() const { return thread_; }
    /// Batches and searches under way.
    [[nodiscard]] std::size_t in_flight() const { return in_flight_; }
    /// The state as JSON.
    [[nodiscard]] std::string dump() const;

private:
    using batch_key = std::pair<model::request_id, std::uint32_t>;

    search_worker(std::shared_ptr<runtime::fiber_thread> thread, search_environment environment);

    routing::query_plan plan(const model::search_request& request) const;
    void send_batch(const model::instance_id& owner, const routing::sub_query_batch& batch,
                    const std::shared_ptr<session_mailbox>& mailbox);
    void cancel_batch(const model::instance_id& owner, const routing::sub_query_batch& batch);
    [[nodiscard]] std::vector<model::instance_id> ordered_owners(
        const tier_state& state, std::span<const model::instance_id> owners) const;
    void apply_policy(const tier_state& state);
    void report(const model::attempt_reply& reply);
    routing::routing_context context();

    std::shared_ptr<runtime::fiber_thread> thread_;
    search_environment environment_;
    backend_caller backends_;
    kernel::system_clock_source clock_;
    kernel::seeded_random_source random_;
    routing::routing_policy policy_;
    routing::replica_stats replicas_;
    retry::retry_budget attempt_budget_{routing::attempt_budget_options()};
    retry::hedge_policy attempt_hedge_;
    routing::owner_stats owners_;
    retry::retry_budget batch_budget_{routing::batch_budget_options()};
    retry::hedge_policy batch_hedge_{routing::batch_hedge_options()};
    routing::crash_quarantine quarantine_;
    snapshot::version_tracker versions_;
    routing::routing_counters counters_;
    std::map<batch_key, std::function<void()>> running_;
    model::revision map_revision_;
    std::size_t in_flight_ = 0;
    metrics::latency_histogram search_latency_;
    metrics::latency_histogram attempt_latency_;
    metrics::counter_set counts_;
};

}  // namespace poplarfront::daemon
