#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "daemon/backend_caller.h"
#include "daemon/peer_link.h"
#include "daemon/pending_batches.h"
#include "daemon/tier_state.h"
#include "kernel/clock_and_random_sources.h"
#include "metrics/counter_set.h"
#include "metrics/latency_histogram.h"
#include "routing/query_plan.h"
#include "routing/routing_state.h"

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

    /// Takes a backend server that replied that it is draining.
    void on_draining(const model::server_id& server) { environment_.on_draining(server); }

    [[nodiscard]] backend_caller& backends() { return backends_; }
    [[nodiscard]] const std::shared_ptr<runtime::fiber_thread>& thread() const { return thread_; }
    /// Batches and searches under way.
    [[nodiscard]] std::size_t in_flight() const { return in_flight_; }
    /// The state as JSON.
    [[nodiscard]] std::string dump() const;

private:
    using batch_key = std::pair<model::request_id, std::uint32_t>;

    /// How a batch under way is reached from outside its fiber.
    struct running_batch {
        std::function<void()> cancel;
        std::function<void()> wake;
    };

    search_worker(std::shared_ptr<runtime::fiber_thread> thread, search_environment environment);

    routing::query_plan plan(const model::search_request& request) const;
    void send_batch(const model::instance_id& owner, const routing::sub_query_batch& batch,
                    const std::shared_ptr<session_mailbox>& mailbox);
    void cancel_batch(const model::instance_id& owner, const routing::sub_query_batch& batch);
    [[nodiscard]] std::vector<model::instance_id> ordered_owners(
        const tier_state& state, std::span<const model::instance_id> owners) const;
    void apply_policy(const tier_state& state);
    void apply_retry_policy(const configuration::retry_policy& policy);
    void report(const model::attempt_reply& reply);
    void announce_quarantined();
    void wake_all();

    std::shared_ptr<runtime::fiber_thread> thread_;
    search_environment environment_;
    backend_caller backends_;
    kernel::steady_clock_source clock_;
    routing::routing_state routing_;
    std::map<batch_key, running_batch> running_;
    std::set<std::shared_ptr<session_mailbox>> searching_;
    model::revision configuration_revision_;
    std::size_t in_flight_ = 0;
    metrics::latency_histogram search_latency_;
    metrics::latency_histogram attempt_latency_;
    metrics::counter_set counts_;
};

}  // namespace poplarfront::daemon
