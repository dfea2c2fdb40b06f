#pragma once

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <vector>

#include "kernel/concepts.h"
#include "model/identifier.h"
#include "retry/latency_quantile.h"

namespace poplarfront::routing {

struct replica_stats_options {
    /// How long a backend server counts as draining after the last drain notice.
    kernel::duration drain_lifetime = std::chrono::seconds{60};
    /// Time constant of the exponential decay, that is the time in which a value falls to 1/e. It
    /// applies to failure counts and to latency estimates that are not updated, which decay to the
    /// lowest estimate of the candidates.
    kernel::duration decay_time = std::chrono::seconds{5};
    /// A backend server counts as cold until it has given this many replies.
    std::uint32_t cold_replies = 10;
    /// Costs that differ by at most this fraction count as equal; the reported load decides then.
    double tie_margin = 0.1;
};

/// A replica to which a request may be sent.
struct replica_candidate {
    /// Never null.
    const model::server_id* server = nullptr;
    /// Factor of its cost, set by the caller; above 1 for a replica in another data centre or
    /// during its configured cold start. Does not depend on `cold_replies`.
    double cost_factor = 1;
};

/// Collects statistics of each backend server and chooses among replicas by them. Not thread-safe.
class replica_stats {
public:
    explicit replica_stats(replica_stats_options options = {}) : options_(options) {}

    void on_sent(const model::server_id& server) { ++servers_[server].in_flight; }

    /// Records the end of a request that was answered.
    void on_answered(const model::server_id& server, kernel::duration latency, double reported_load,
                     kernel::time_point now) {
        auto& state = end_request(server);
        state.replies += 1;
        state.reported_load = reported_load;
        state.latencies.observe(latency);
        update_latency(state, latency, now);
    }

    /// Records the end of a request that failed. The latency estimate stays as it is, because
    /// refusals are fast.
    void on_failed(const model::server_id& server, kernel::time_point now) {
        auto& state = end_request(server);
        state.failures = recent_failures(state, now) + 1;
        state.failed_at = now;
    }

    /// Records the end of a request whose connection was lost or refused. The backend server counts
    /// as cold when it comes back.
    void on_lost(const model::server_id& server, kernel::time_point now) {
        on_failed(server, now);
        servers_[server].replies = 0;
    }

    /// Whether a connection to the backend server was lost or refused less than `age` ago and it
    /// has answered no request since.
    [[nodiscard]] bool lost_within(const model::server_id& server, kernel::duration age,
                                   kernel::time_point now) const {
        const auto it = servers_.find(server);
        return it != servers_.end() && it->second.failures > 0 && it->second.replies == 0 &&
               now - it->second.failed_at < age;
    }

    /// Records the end of a request that was cancelled after `elapsed`, which is a lower bound of
    /// its latency.
    void on_cancelled(const model::server_id& server, kernel::duration elapsed,
                      kernel::time_point now) {
        auto& state = end_request(server);
        if (seconds(elapsed) > state.latency) {
            update_latency(state, elapsed, now);
        }
    }

    /// Records a drain notice: the backend server is about to leave.
    void mark_draining(const model::server_id& server, kernel::time_point now) {
        servers_[server].draining_until = now + options_.drain_lifetime;
    }

    /// Removes the drain notice of a backend server that is in use again.
    void clear_draining(const model::server_id& server) {
        if (const auto it = servers_.find(server); it != servers_.end()) {
            it->second.draining_until = {};
        }
    }

    [[nodiscard]] bool draining(const model::server_id& server, kernel::time_point now) const {
        const auto it = servers_.find(server);
        return it != servers_.end() && now < it->second.draining_until;
    }

    [[nodiscard]] std::uint32_t in_flight(const model::server_id& server) const {
        const auto it = servers_.find(server);
        return it == servers_.end() ? 0 : it->second.in_flight;
    }

    /// The 95th percentile of the latencies; absent until enough have been observed.
    [[nodiscard]] std::optional<kernel::duration> p95(const model::server_id& server) const {
        constexpr double fraction = 0.95;
        const auto it = servers_.find(server);
        return it == servers_.end() ? std::nullopt : it->second.latencies.quantile(fraction);
    }

    /// The backend server expected to answer first; absent if there are no candidates.
    [[nodiscard]] std::optional<model::server_id> choose(
        std::span<const model::server_id> candidates, kernel::time_point now) {
        std::vector<replica_candidate> unweighted;
        unweighted.reserve(candidates.size());
        for (const auto& it : candidates) {
            unweighted.push_back({&it});
        }
        const auto best = choose_index(unweighted, now);
        return best ? std::optional{candidates[*best]} : std::nullopt;
    }

    /// The index of the candidate expected to answer first, with costs multiplied by the cost
    /// factors; absent if there are no candidates.
    [[nodiscard]] std::optional<std::size_t> choose_index(
        std::span<const replica_candidate> candidates, kernel::time_point now) {
        if (candidates.empty()) {
            return std::nullopt;
        }
        const double reference = reference_latency(candidates);
        ++rotation_;
        std::optional<std::size_t> best;
        for (std::size_t offset = 0; offset < candidates.size(); ++offset) {
            // The first candidate rotates, so that equal replicas share the load.
            const auto index = (offset + rotation_) % candidates.size();
            if (!best || is_better(candidates[index], candidates[*best], reference, now)) {
                best = index;
            }
        }
        return best;
    }

    /// Records that an open request has had no answer for `elapsed`, longer than expected.
    void on_overdue(const model::server_id& server, kernel::duration elapsed,
                    kernel::time_point now) {
        auto& state = servers_[server];
        if (seconds(elapsed) > state.latency) {
            update_latency(state, elapsed, now);
        }
    }

    /// Removes the statistics of backend servers for which `keep` returns false, except those with
    /// requests in flight.
    template <std::predicate<const model::server_id&> Keep>
    void retain(const Keep& keep) {
        std::erase_if(servers_,
                      [&](const auto& it) { return it.second.in_flight == 0 && !keep(it.first); });
    }

private:
    struct server_state {
        std::uint32_t in_flight = 0;
        std::uint32_t replies = 0;
        /// The estimated latency in seconds; 0 if unknown.
        double latency = 0;
        kernel::time_point latency_updated_at;
        double failures = 0;
        kernel::time_point failed_at;
        double reported_load = 0;
        kernel::time_point draining_until;
        retry::latency_quantile latencies;
    };

    static double seconds(kernel::duration span) {
        return std::chrono::duration<double>(span).count();
    }

    server_state& end_request(const model::server_id& server) {
        auto& found = servers_[server];
        found.in_flight -= found.in_flight > 0 ? 1 : 0;
        return found;
    }

    static void update_latency(server_state& state, kernel::duration latency,
                               kernel::time_point now) {
        // The estimate rises faster than it falls, so that a straggler is avoided soon.
        constexpr double rise_weight = 0.5;
        constexpr double fall_weight = 0.2;
        const double sample = seconds(latency);
        const double weight = sample > state.latency ? rise_weight : fall_weight;
        state.latency =
            state.latency == 0 ? sample : state.latency + weight * (sample - state.latency);
        state.latency_updated_at = now;
    }

    /// The factor by which a value has decayed since a time.
    [[nodiscard]] double decay_factor(kernel::time_point since, kernel::time_point now) const {
        return std::exp(-seconds(now - since) / seconds(options_.decay_time));
    }

    [[nodiscard]] double recent_failures(const server_state& state, kernel::time_point now) const {
        return state.failures == 0 ? 0 : state.failures * decay_factor(state.failed_at, now);
    }

    /// The lowest estimated latency of the candidates, or a default, in seconds.
    [[nodiscard]] double reference_latency(std::span<const replica_candidate> candidates) const {
        constexpr double default_latency_s = 0.005;
        double lowest = 0;
        for (const auto& candidate : candidates) {
            const auto it = servers_.find(*candidate.server);
            const double latency = it == servers_.end() ? 0 : it->second.latency;
            if (latency > 0 && (lowest == 0 || latency < lowest)) {
                lowest = latency;
            }
        }
        return lowest == 0 ? default_latency_s : lowest;
    }

    /// The expected time to an answer, with penalties for recent failures and for requests in
    /// flight on a cold backend server.
    [[nodiscard]] double cost(const server_state& state, double reference,
                              kernel::time_point now) const {
        constexpr double failure_penalty = 4;
        constexpr double cold_penalty = 2;
        double latency = state.latency == 0 ? reference : state.latency;
        if (latency > reference) {
            // An estimate that is not updated decays to the reference latency, so that a former
            // straggler is tried again.
            latency =
                reference + (latency - reference) * decay_factor(state.latency_updated_at, now);
        }
        const bool cold = state.replies < options_.cold_replies;
        const double queue_factor = 1 + state.in_flight * (cold ? cold_penalty : 1);
        return latency * queue_factor * (1 + failure_penalty * recent_failures(state, now));
    }

    [[nodiscard]] bool is_better(const replica_candidate& left, const replica_candidate& right,
                                 double reference, kernel::time_point now) const {
        const auto& left_state = state_of(*left.server);
        const auto& right_state = state_of(*right.server);
        const double left_cost = left.cost_factor * cost(left_state, reference, now);
        const double right_cost = right.cost_factor * cost(right_state, reference, now);
        if (std::abs(left_cost - right_cost) > options_.tie_margin * right_cost) {
            return left_cost < right_cost;
        }
        return left_state.reported_load < right_state.reported_load;
    }

    [[nodiscard]] const server_state& state_of(const model::server_id& server) const {
        static const server_state unknown{};
        const auto it = servers_.find(server);
        return it == servers_.end() ? unknown : it->second;
    }

    replica_stats_options options_;
    std::map<model::server_id, server_state> servers_;
    std::size_t rotation_ = 0;
};

}  // namespace poplarfront::routing
