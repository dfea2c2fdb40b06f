#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "gateway/client_request.h"
#include "gateway/fleet_view.h"
#include "gateway/route_statistics.h"
#include "gateway/session_limits.h"
#include "gateway/session_options.h"
#include "gateway/wait_list.h"
#include "kernel/clock_and_random_sources.h"
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

    /// `started`: budgets fill from then on, whenever they are first used.
    traffic_state(session_options options, std::uint64_t seed,
                  std::optional<kernel::time_point> started = std::nullopt)
        : options_(std::move(options)),
          random_(seed),
          started_(started),
          quarantine_(quarantine_options()) {}

    [[nodiscard]] const session_options& options() const { return options_; }
    /// Sets options for decisions from now on.
    void set_options(session_options options) {
        if (options.extra_ratio != options_.extra_ratio) {
            budgets_.clear();
            started_.reset();
        }
        options_ = std::move(options);
    }
    routing::replica_stats& replicas() { return replicas_; }
    routing::crash_quarantine& quarantine() { return quarantine_; }
    metrics::counter_set& counters() { return counters_; }
    wait_list<waiter>& waiting() { return waiting_; }
    kernel::seeded_random_source& random() { return random_; }

    /// Takes the time from the moment at which a gather was due to be answered until its answer was
    /// written: the lateness of timers, the merge, waiting for the processor, and the way from a
    /// delegate.
    void on_answer_delay(kernel::duration delay, gather_location place) {
        // Rises are learned faster, because a late answer loses more than an early one. Small
        // instances answer few requests, so that each one has to count.
        constexpr double rise_weight = 0.5;
        constexpr double fall_weight = 0.1;
        auto& learned = delay_of(place);
        const double weight = delay > learned ? rise_weight : fall_weight;
        learned += kernel::duration{static_cast<kernel::duration::rep>(
            weight * static_cast<double>((delay - learned).count()))};
    }

    /// How long before its objective a gather has to be answered so that the client has the answer
    /// in time.
    [[nodiscard]] kernel::duration answer_margin(const route_statistics& statistics,
                                                 gather_location place) {
        constexpr int most_margins = 4;
        const auto way = statistics.round_trip();
        return way ? std::clamp(*way + delay_of(place) + options_.unobserved_delay,
                                options_.answer_margin, options_.answer_margin * most_margins)
                   : options_.answer_margin;
    }

    /// What is kept to for a request of a client. It learns from the patience of the request.
    session_limits limits_for(const route& route, const client_request& request,
                              gather_location place) {
        auto& statistics = statistics_of(route);
        const auto client_timeout = request.client_timeout > kernel::duration::zero()
                                        ? request.client_timeout
                                        : route.timeout;
        statistics.observe_client_timeout(client_timeout, route.timeout);
        const auto spent = statistics.elapsed_since_first_attempt(client_timeout);
        session_limits limits;
        limits.max_attempts = route.max_attempts;
        limits.final_deadline = request.received + std::min(client_timeout, route.timeout) -
                                options_.final_deadline_margin;
        auto left = route.objective - spent - answer_margin(statistics, place);
        if (left <= kernel::duration::zero()) {
            // The objective is missed in any case: what counts is a whole answer soon.
            left = route.objective / 2;
        }
        limits.partial_deadline = std::min(request.received + left, limits.final_deadline);
        return limits;
    }

    route_statistics& statistics_of(const route& route) { return routes_[route.name]; }

    /// The budget of a service for extra requests, sized by this instance's share of its limits.
    retry::retry_budget& budget_of(const model::service_id& service, const fleet_view& view,
                                   kernel::time_point now) {
        const auto shape = shape_for(view.share_of(service));
        auto it = budgets_.find(service);
        if (it == budgets_.end()) {
            it = budgets_.emplace(service, new_budget(shape)).first;
            it->second.refill(started_.value_or(now));
        }
        it->second.resize(shape.burst, shape.reserve, shape.refill_per_second);
        it->second.refill(now);
        return it->second;
    }

    /// Requests that this instance may have under way at one backend server.
    [[nodiscard]] std::uint32_t in_flight_limit(const fleet_view& view,
                                                const model::service_id& service) const {
        const auto it = view.configuration->services.find(service);
        const double all =
            it == view.configuration->services.end() ? 1 : it->second.max_connections;
        const auto share =
            static_cast<std::uint32_t>(all * options_.connection_fraction * view.share_of(service));
        return std::clamp<std::uint32_t>(share, 1, options_.max_connections_per_backend);
    }

    /// Lets the first waiting request of a service try again.
    void wake_one(const model::service_id& service, kernel::time_point now) {
        if (const auto first = waiting_.take_first(service)) {
            (*first)(now);
        }
    }

private:
    kernel::duration& delay_of(gather_location place) {
        return place == gather_location::local ? answer_delay_ : handover_delay_;
    }

    static routing::crash_quarantine_options quarantine_options() {
        routing::crash_quarantine_options options;
        // A crash of several backend servers at once costs an ordinary request two of them.
        options.threshold = 3;
        options.crash_symptom_lifetime = std::chrono::seconds{30};
        options.quarantine_lifetime = std::chrono::seconds{30};
        options.max_entries = 1000;
        options.max_known_good = 1000;
        // Without it a request that is sent often is refused once three backend servers have
        // spoilt one reply each.
        options.complete_reply_clears = true;
        return options;
    }

    struct budget_shape {
        double burst = 0;
        double reserve = 0;
        double refill_per_second = 0;
    };

    /// What is saved up and what returns within one window are together this instance's share of
    /// the slack.
    [[nodiscard]] budget_shape shape_for(double part) const {
        // Less than one token could never be spent.
        constexpr double least_burst = 1.2;
        const double share = options_.extra_slack * options_.extra_slack_fraction * part;
        const double saved = share * options_.burst_fraction;
        const double burst = share > 0 ? std::max(least_burst, saved) : 0;
        const double window = std::chrono::duration<double>(options_.extra_window).count();
        return {burst, std::max(0.0, std::min(burst * options_.reserve_fraction, burst - 1)),
                (share - saved) / window};
    }

    [[nodiscard]] retry::retry_budget new_budget(const budget_shape& shape) const {
        retry::retry_budget_options options;
        options.steady_ratio = options_.extra_ratio;
        options.fault_ratio = options_.extra_ratio;
        options.burst = shape.burst;
        options.initial_fraction = options_.initial_token_fraction;
        options.reserve = shape.reserve;
        options.refill_per_second = shape.refill_per_second;
        // Tokens return by the refill instead.
        options.idle_refill = std::chrono::hours{24};
        return retry::retry_budget{options};
    }

    session_options options_;
    kernel::seeded_random_source random_;
    std::optional<kernel::time_point> started_;
    routing::replica_stats replicas_;
    routing::crash_quarantine quarantine_;
    metrics::counter_set counters_;
    wait_list<waiter> waiting_;
    std::map<std::string, route_statistics, std::less<>> routes_;
    kernel::duration answer_delay_ = std::chrono::milliseconds{7};
    kernel::duration handover_delay_ = std::chrono::milliseconds{10};
    std::map<model::service_id, retry::retry_budget> budgets_;
};

}  // namespace poplarfront::gateway
