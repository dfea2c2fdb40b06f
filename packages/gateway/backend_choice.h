#pragma once

#include <concepts>
#include <memory>
#include <vector>

#include "gateway/request_part.h"
#include "gateway/traffic_state.h"

namespace poplarfront::gateway {

/// The backend server for an attempt, or why there is none.
struct backend_choice {
    enum class outcome {
        chosen,
        /// All candidates have as many requests of this instance as they may.
        all_busy,
        none_left,
    };
    outcome result = outcome::none_left;
    /// Null unless the result is `chosen`.
    std::shared_ptr<const backend_entry> backend;
};

[[nodiscard]] inline double cost_factor(const backend_entry& backend,
                                        const session_options& options, kernel::time_point now) {
    const double distance_cost =
        backend.data_centre.text() == options.data_centre ? 1 : options.remote_cost;
    return now < backend.cold_until ? distance_cost * options.cold_cost : distance_cost;
}

/// Chooses the backend server of a part that is expected to reply first, among those that take
/// requests and satisfy `is_candidate`. Not thread-safe, as `traffic_state`.
template <std::predicate<const backend_entry&> Predicate>
[[nodiscard]] backend_choice choose_backend(const request_part& part, const fleet_view& view,
                                            traffic_state& state, kernel::time_point now,
                                            const Predicate& is_candidate) {
    const auto limit = state.in_flight_limit(view, part.service);
    std::vector<routing::replica_candidate> candidates;
    std::vector<std::size_t> positions;
    bool busy = false;
    for (std::size_t it = 0; it < part.backends->size(); ++it) {
        const auto& backend = *(*part.backends)[it];
        const auto availability = state.notices().availability_of(backend, now);
        if (availability == backend_availability::none || part.is_unreachable(backend.id) ||
            state.replicas().draining(backend.id, now) || !is_candidate(backend)) {
            continue;
        }
        const auto allowed = availability == backend_availability::one_request ? 1 : limit;
        if (state.replicas().in_flight(backend.id) >= allowed) {
            busy = true;
            continue;
        }
        candidates.push_back({&backend.id, cost_factor(backend, state.options(), now)});
        positions.push_back(it);
    }
    const auto chosen = state.replicas().choose_index(candidates, now);
    if (!chosen) {
        return {busy ? backend_choice::outcome::all_busy : backend_choice::outcome::none_left,
                nullptr};
    }
    return {backend_choice::outcome::chosen, (*part.backends)[positions[*chosen]]};
}

}  // namespace poplarfront::gateway
