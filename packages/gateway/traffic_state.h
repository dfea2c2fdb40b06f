#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>

#include "gateway/fleet_view.h"
#include "gateway/route_statistics.h"
#include "gateway/session_options.h"
#include "gateway/wait_list.h"
#include "kernel/sources.h"
#include "metrics/counter_set.h"
#include "retry/retry_budget.h"
#include "routing/crash_quarantine.h"
#include "routing/replica_stats.h"

namespace poplarfront::gateway {

/// What the requests of one traffic thread share.
///
/// Thread safety: none; each traffic thread has its own.
class traffic_state {
public:
    /// Called when a waiting request may try again; the argument is the time.
    using waiter = std::function<void(kernel::time_point)>;

    traffic_state(session_options options, std::uint64_t seed)
        : options_(std::move(options)), random_(seed), quarantine_(quarantine_options()) {}

    [[nodiscard]] const session_options& options() const { return options_; }
    /// Sets options for decisions from now on.
    void set_options(session_options options) {
        options_ = std::move(options);
        budgets_.clear();
    }
    routing::replica_stats& replicas() { return replicas_; }
    routing::crash_quarantine& quarantine() { return quarantine_; }
    metrics::counter_set& counters() { return counters_; }
    wait_list<waiter>& waiting() { return waiting_; }
    kernel::seeded_random_source& random() { return random_; }

    route_statistics& statistics_of(const route& route) { return routes_[route.name]; }

    /// The budget of a service for extra requests, sized by the number of instances.
    retry::retry_budget& budget_of(const model::service_id& service, std::uint32_t instances) {
        const double burst = options_.extra_slack * options_.extra_slack_used / instances;
        const auto it = budgets_.find(service);
        if (it == budgets_.end()) {
            return budgets_.emplace(service, new_budget(burst)).first->second;
        }
        it->second.limit_burst(burst, burst * options_.reserved_part);
        return it->second;
    }

    /// Requests that this instance may have under way at one backend server.
    [[nodiscard]] std::uint32_t concurrency(const fleet_view& view,
                                            const model::service_id& service) const {
        const auto it = view.configuration->services.find(service);
        const double all =
            it == view.configuration->services.end() ? 1 : it->second.max_connections;
        const auto share = static_cast<std::uint32_t>(all * options_.connections_used /
                                                      std::max<std::uint32_t>(1, view.instances));
        return std::clamp<std::uint32_t>(share, 1, options_.max_connections_per_backend);
    }

    /// Lets the first waiting request of a service try again.
    void wake_one(const model::service_id& service, kernel::time_point now) {
        if (const auto first = waiting_.take_first(service)) {
            (*first)(now);
        }
    }

private:
    static routing::crash_quarantine_options quarantine_options() {
        routing::crash_quarantine_options options;
        // A crash of several backend servers at once costs an ordinary request two of them.
        options.threshold = 3;
        options.symptom_lifetime = std::chrono::seconds{30};
        options.quarantine_lifetime = std::chrono::seconds{30};
        options.max_entries = 1000;
        options.max_known_good = 1000;
        return options;
    }

    [[nodiscard]] retry::retry_budget new_budget(double burst) const {
        retry::retry_budget_options options;
        options.steady_ratio = options_.extra_ratio;
        options.fault_ratio = options_.extra_ratio;
        options.burst = burst;
        options.initial_part = options_.initial_tokens;
        options.reserve = burst * options_.reserved_part;
        return retry::retry_budget{options};
    }

    session_options options_;
    kernel::seeded_random_source random_;
    routing::replica_stats replicas_;
    routing::crash_quarantine quarantine_;
    metrics::counter_set counters_;
    wait_list<waiter> waiting_;
    std::map<std::string, route_statistics, std::less<>> routes_;
    std::map<model::service_id, retry::retry_budget> budgets_;
};

}  // namespace poplarfront::gateway
