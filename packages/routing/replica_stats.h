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
    /// A drain notice is kept this long after it was last heard.
    kernel::duration drain_lifetime = std::chrono::seconds{60};
    /// Time in which the weight of a failure, and the excess of an unused latency estimate, fall
    /// to 1/e.
    kernel::duration decay = std::chrono::seconds{5};
    /// A backend server is cold until it has answered this often.
    std::uint32_t cold_replies = 10;
    /// Costs that differ by less than this part are a tie.
    double tie_margin = 0.1;
};

/// A replica that may get a request.
struct replica_candidate {
    /// Never null.
    const model::server_id* server = nullptr;
    /// Multiplies its cost; more than 1 for one that is far away or still cold.
    double cost_factor = 1;
};

/// What an owner has observed of each backend server, and the choice among replicas. Not
/// thread-safe.
class replica_stats {
public:
    explicit replica_stats(replica_stats_options options = {}) : options_(options) {}

    void on_sent(const model::server_id& server) { ++rows_[server].in_flight; }

    /// Ends a request that was answered.
    void on_answered(const model::server_id& server, kernel::duration latency, double reported_load,
                     kernel::time_point now) {
        auto& row = ended(server);
        row.replies += 1;
        row.reported_load = reported_load;
        row.latencies.observe(latency);
        learn(row, latency, now);
    }

    /// Ends a request that failed. Its latency is not learned: a refusal is fast.
    void on_failed(const model::server_id& server, kernel::time_point now) {
        auto& row = ended(server);
        row.failures = recent_failures(row, now) + 1;
        row.failed_at = now;
    }

    /// Ends a request whose connection was lost or refused. A backend server that comes back after
    /// that starts cold.
    void on_lost(const model::server_id& server, kernel::time_point now) {
        on_failed(server, now);
        rows_[server].replies = 0;
    }

    /// Ends a request that was cancelled after `elapsed`, which is less than its latency.
    void on_cancelled(const model::server_id& server, kernel::duration elapsed,
                      kernel::time_point now) {
        auto& row = ended(server);
        if (seconds(elapsed) > row.latency) {
            learn(row, elapsed, now);
        }
    }

    /// Takes the notice that a backend server is leaving.
    void mark_draining(const model::server_id& server, kernel::time_point now) {
        rows_[server].draining_until = now + options_.drain_lifetime;
    }

    /// Forgets such a notice: the backend server is in use again.
    void clear_draining(const model::server_id& server) {
        if (const auto it = rows_.find(server); it != rows_.end()) {
            it->second.draining_until = {};
        }
    }

    [[nodiscard]] bool draining(const model::server_id& server, kernel::time_point now) const {
        const auto it = rows_.find(server);
        return it != rows_.end() && now < it->second.draining_until;
    }

    [[nodiscard]] std::uint32_t in_flight(const model::server_id& server) const {
        const auto it = rows_.find(server);
        return it == rows_.end() ? 0 : it->second.in_flight;
    }

    [[nodiscard]] std::optional<kernel::duration> p95(const model::server_id& server) const {
        constexpr double fraction = 0.95;
        const auto it = rows_.find(server);
        return it == rows_.end() ? std::nullopt : it->second.latencies.quantile(fraction);
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

    /// The index of the candidate expected to answer first, costs weighted by the candidates'
    /// factors; absent if there are no candidates.
    [[nodiscard]] std::optional<std::size_t> choose_index(
        std::span<const replica_candidate> candidates, kernel::time_point now) {
        if (candidates.empty()) {
            return std::nullopt;
        }
        const double typical = typical_latency(candidates);
        ++turn_;
        std::optional<std::size_t> best;
        for (std::size_t it = 0; it < candidates.size(); ++it) {
            // The start rotates, so that equal replicas share the load.
            const auto index = (it + turn_) % candidates.size();
            if (!best || better(candidates[index], candidates[*best], typical, now)) {
                best = index;
            }
        }
        return best;
    }

    /// Notes that a request has been unanswered for `elapsed`, longer than expected.
    void on_overdue(const model::server_id& server, kernel::duration elapsed,
                    kernel::time_point now) {
        auto& row = rows_[server];
        if (seconds(elapsed) > row.latency) {
            learn(row, elapsed, now);
        }
    }

    /// Forgets backend servers without requests in flight for which `keep` is false.
    template <std::predicate<const model::server_id&> Keep>
    void retain(const Keep& keep) {
        std::erase_if(rows_,
                      [&](const auto& it) { return it.second.in_flight == 0 && !keep(it.first); });
    }

private:
    struct row {
        std::uint32_t in_flight = 0;
        std::uint32_t replies = 0;
        /// Seconds; 0 if nothing is known.
        double latency = 0;
        kernel::time_point learned_at;
        double failures = 0;
        kernel::time_point failed_at;
        double reported_load = 0;
        kernel::time_point draining_until;
        retry::latency_quantile latencies;
    };

    static double seconds(kernel::duration span) {
        return std::chrono::duration<double>(span).count();
    }

    row& ended(const model::server_id& server) {
        auto& found = rows_[server];
        found.in_flight -= found.in_flight > 0 ? 1 : 0;
        return found;
    }

    static void learn(row& row, kernel::duration latency, kernel::time_point now) {
        // Rises are learned faster than falls, so that a straggler is left early.
        constexpr double rise_weight = 0.5;
        constexpr double fall_weight = 0.2;
        const double sample = seconds(latency);
        const double weight = sample > row.latency ? rise_weight : fall_weight;
        row.latency = row.latency == 0 ? sample : row.latency + weight * (sample - row.latency);
        row.learned_at = now;
    }

    [[nodiscard]] double remaining(kernel::time_point since, kernel::time_point now) const {
        return std::exp(-seconds(now - since) / seconds(options_.decay));
    }

    [[nodiscard]] double recent_failures(const row& row, kernel::time_point now) const {
        return row.failures == 0 ? 0 : row.failures * remaining(row.failed_at, now);
    }

    /// The lowest known latency of the candidates, in seconds.
    [[nodiscard]] double typical_latency(std::span<const replica_candidate> candidates) const {
        constexpr double unknown = 0.005;
        double lowest = 0;
        for (const auto& candidate : candidates) {
            const auto it = rows_.find(*candidate.server);
            const double latency = it == rows_.end() ? 0 : it->second.latency;
            if (latency > 0 && (lowest == 0 || latency < lowest)) {
                lowest = latency;
            }
        }
        return lowest == 0 ? unknown : lowest;
    }

    [[nodiscard]] double cost(const row& row, double typical, kernel::time_point now) const {
        constexpr double failure_penalty = 4;
        constexpr double cold_penalty = 2;
        double latency = row.latency == 0 ? typical : row.latency;
        if (latency > typical) {
            // An unused estimate falls back to the typical one, so that a former straggler is
            // tried again.
            latency = typical + (latency - typical) * remaining(row.learned_at, now);
        }
        const bool cold = row.replies < options_.cold_replies;
        const double queue = 1 + row.in_flight * (cold ? cold_penalty : 1);
        return latency * queue * (1 + failure_penalty * recent_failures(row, now));
    }

    [[nodiscard]] bool better(const replica_candidate& left, const replica_candidate& right,
                              double typical, kernel::time_point now) const {
        const auto& left_row = row_of(*left.server);
        const auto& right_row = row_of(*right.server);
        const double left_cost = left.cost_factor * cost(left_row, typical, now);
        const double right_cost = right.cost_factor * cost(right_row, typical, now);
        if (std::abs(left_cost - right_cost) > options_.tie_margin * right_cost) {
            return left_cost < right_cost;
        }
        return left_row.reported_load < right_row.reported_load;
    }

    [[nodiscard]] const row& row_of(const model::server_id& server) const {
        static const row unknown{};
        const auto it = rows_.find(server);
        return it == rows_.end() ? unknown : it->second;
    }

    replica_stats_options options_;
    std::map<model::server_id, row> rows_;
    std::size_t turn_ = 0;
};

}  // namespace poplarfront::routing
