#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "gateway/backend_notices.h"
#include "gateway/client_request.h"
#include "gateway/crash_quarantine.h"
#include "gateway/fleet_view.h"
#include "gateway/route_statistics.h"
#include "gateway/session_limits.h"
#include "gateway/session_options.h"
#include "gateway/wait_list.h"
#include "kernel/clock_and_random_sources.h"
#include "metrics/counter_set.h"
#include "retry/retry_budget.h"
#include "routing/replica_stats.h"

namespace poplarfront::gateway {

/// State shared by all requests of one traffic thread.
///
/// Not thread-safe; each traffic thread has its own.
class traffic_state {
public:
    /// Called with the current time when a waiting request may try again. Returns false if the
    /// request has no use for the free connection, so that another one may try.
    using waiter = std::function<bool(kernel::time_point)>;

    /// `started`: from then on budgets are refilled, no matter when they are first used.
    traffic_state(session_options options, std::uint64_t seed,
                  std::optional<kernel::time_point> started = std::nullopt)
        : options_(std::move(options)), random_(seed), started_(started) {}

    [[nodiscard]] const session_options& options() const { return options_; }
    /// Replaces the options. A new extra_ratio resets all budgets.
    void set_options(session_options options) {
        if (options.extra_ratio != options_.extra_ratio) {
            budgets_.clear();
            started_.reset();
        }
        options_ = std::move(options);
    }
    routing::replica_stats& replicas() { return replicas_; }
    [[nodiscard]] const routing::replica_stats& replicas() const { return replicas_; }
    crash_quarantine& quarantine() { return quarantine_; }
    backend_notices& notices() { return notices_; }
    [[nodiscard]] const backend_notices& notices() const { return notices_; }
    metrics::counter_set& counters() { return counters_; }
    wait_list<waiter>& waiting() { return waiting_; }
    kernel::seeded_random_source& random() { return random_; }

    /// Records the time from the partial deadline of a gather until its answer was written: late
    /// timers, the merge, waiting for the processor, and the network delay from a delegate.
    void on_answer_delay(kernel::duration delay, gather_location location) {
        // Increases have a higher weight, because an answer after the objective costs more than one
        // that is given early with fewer parts. Both weights are large, because small instances
        // answer few requests.
        constexpr double rise_weight = 0.5;
        constexpr double fall_weight = 0.1;
        auto& average = delay_of(location);
        const double weight = delay > average ? rise_weight : fall_weight;
        average += kernel::duration{static_cast<kernel::duration::rep>(
            weight * static_cast<double>((delay - average).count()))};
    }

    /// How long before its objective a gather has to be answered so that the client receives the
    /// answer in time.
    [[nodiscard]] kernel::duration answer_margin(gather_location location) {
        constexpr int max_margins = 4;
        const auto round_trip = round_trip_.value_or(options_.assumed_round_trip);
        return std::clamp(round_trip + delay_of(location) + options_.unobserved_delay,
                          options_.answer_margin, options_.answer_margin * max_margins);
    }

    /// The limits of a client's request. Records its time-out in the statistics of the route.
    session_limits limits_for(const route& route, const client_request& request,
                              gather_location location) {
        auto& statistics = statistics_of(route);
        const auto client_timeout = request.client_timeout > kernel::duration::zero()
                                        ? request.client_timeout
                                        : route.timeout;
        statistics.observe_client_timeout(client_timeout, route.timeout);
        if (const auto observed = statistics.round_trip()) {
            round_trip_ = std::min(round_trip_.value_or(*observed), *observed);
        }
        const auto spent = statistics.elapsed_since_first_attempt(client_timeout);
        session_limits limits;
        limits.max_attempts = route.max_attempts;
        limits.final_deadline = request.received + std::min(client_timeout, route.timeout) -
                                options_.final_deadline_margin;
        auto left = route.objective - spent - answer_margin(location);
        if (left <= kernel::duration::zero()) {
            // The objective cannot be met. The gather waits up to half of the objective for a
            // complete answer.
            left = route.objective / 2;
        }
        limits.partial_deadline = std::min(request.received + left, limits.final_deadline);
        return limits;
    }

    route_statistics& statistics_of(const route& route) { return routes_[route.name]; }

    /// The retry budget of a service, sized by this instance's share of the common limits.
    retry::retry_budget& budget_of(const model::service_id& service, const fleet_view& view,
                                   kernel::time_point now) {
        const auto parameters = budget_parameters_for(view.share_of(service));
        auto it = budgets_.find(service);
        if (it == budgets_.end()) {
            it = budgets_.emplace(service, new_budget(parameters)).first;
            it->second.refill(started_.value_or(now));
        }
        it->second.resize(parameters.burst, parameters.reserve, parameters.refill_per_second);
        it->second.refill(now);
        return it->second;
    }

    /// Maximum number of requests of this instance in flight at one backend server.
    [[nodiscard]] std::uint32_t in_flight_limit(const fleet_view& view,
                                                const model::service_id& service) const {
        const auto it = view.configuration->services.find(service);
        const double max_connections =
            it == view.configuration->services.end() ? 1 : it->second.max_connections;
        const auto share = static_cast<std::uint32_t>(
            max_connections * options_.connection_fraction * view.share_of(service));
        return std::clamp<std::uint32_t>(share, 1, options_.max_connections_per_backend);
    }

    /// Lets the first waiting request of a service try again, and the next ones until one of them
    /// has used the free connection or waits again.
    void wake_one(const model::service_id& service, kernel::time_point now) {
        for (auto it = waiting_.take_first(service); it; it = waiting_.take_first(service)) {
            if ((*it)(now)) {
                return;
            }
        }
    }

private:
    kernel::duration& delay_of(gather_location location) {
        return location == gather_location::local ? local_answer_delay_ : delegated_answer_delay_;
    }

    struct budget_parameters {
        double burst = 0;
        double reserve = 0;
        double refill_per_second = 0;
    };

    /// The burst and the tokens that are refilled within one window add up to this instance's share
    /// of the slack, unless the share is so small that `min_burst` applies.
    [[nodiscard]] budget_parameters budget_parameters_for(double fraction) const {
        // A budget with a burst of less than one token could never pay for a request.
        constexpr double min_burst = 1.2;
        const double share = options_.extra_slack * options_.extra_slack_fraction * fraction;
        const double burst_share = share * options_.burst_fraction;
        const double burst = share > 0 ? std::max(min_burst, burst_share) : 0;
        const double window = std::chrono::duration<double>(options_.extra_window).count();
        return {burst, std::max(0.0, std::min(burst * options_.reserve_fraction, burst - 1)),
                (share - burst_share) / window};
    }

    [[nodiscard]] retry::retry_budget new_budget(const budget_parameters& parameters) const {
        retry::retry_budget_options options;
        options.steady_ratio = options_.extra_ratio;
        options.fault_ratio = options_.extra_ratio;
        options.burst = parameters.burst;
        options.initial_fraction = options_.initial_token_fraction;
        options.reserve = parameters.reserve;
        options.refill_per_second = parameters.refill_per_second;
        // The constant refill replaces the idle refill.
        options.idle_refill = std::chrono::hours{24};
        return retry::retry_budget{options};
    }

    session_options options_;
    kernel::seeded_random_source random_;
    std::optional<kernel::time_point> started_;
    routing::replica_stats replicas_;
    crash_quarantine quarantine_;
    backend_notices notices_;
    metrics::counter_set counters_;
    wait_list<waiter> waiting_;
    std::map<std::string, route_statistics, std::less<>> routes_;
    /// The shortest round trip to clients that was observed on any route.
    std::optional<kernel::duration> round_trip_;
    kernel::duration local_answer_delay_ = std::chrono::milliseconds{7};
    kernel::duration delegated_answer_delay_ = std::chrono::milliseconds{10};
    std::map<model::service_id, retry::retry_budget> budgets_;
};

}  // namespace poplarfront::gateway
