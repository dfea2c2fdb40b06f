#include "gateway/service_availability.h"

#include <algorithm>
#include <optional>

namespace poplarfront::gateway {
namespace {

/// Zero if the part is servable, or has no backend server whose pause will end.
kernel::duration time_until_servable(const request_part& part, const traffic_state& state,
                                     kernel::time_point now) {
    if (is_servable(part, state, now)) {
        return kernel::duration::zero();
    }
    std::optional<kernel::time_point> earliest;
    for (const auto& it : *part.backends) {
        if (const auto end = state.notices().paused_until(*it)) {
            earliest = std::min(earliest.value_or(*end), *end);
        }
    }
    return std::max(kernel::duration::zero(), earliest.value_or(now) - now);
}

}  // namespace

bool is_servable(const request_part& part, const traffic_state& state, kernel::time_point now) {
    return std::any_of(part.backends->begin(), part.backends->end(), [&](const auto& it) {
        return !state.replicas().draining(it->id, now) &&
               state.notices().availability_of(*it, now) != backend_availability::none;
    });
}

std::size_t servable_part_count(const std::vector<request_part>& parts, const traffic_state& state,
                                kernel::time_point now) {
    return static_cast<std::size_t>(std::count_if(
        parts.begin(), parts.end(), [&](const auto& it) { return is_servable(it, state, now); }));
}

kernel::duration time_until_servable(const std::vector<request_part>& parts, std::size_t needed,
                                     const traffic_state& state, kernel::time_point now) {
    std::vector<kernel::duration> waits;
    waits.reserve(parts.size());
    for (const auto& it : parts) {
        waits.push_back(time_until_servable(it, state, now));
    }
    std::sort(waits.begin(), waits.end());
    return waits.at(needed - 1);
}

}  // namespace poplarfront::gateway
