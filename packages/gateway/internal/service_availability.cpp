#include "gateway/service_availability.h"

#include <algorithm>
#include <optional>
#include <vector>

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

bool is_servable(const request_parts& parts, const traffic_state& state, kernel::time_point now) {
    const auto servable = std::count_if(
        parts.begin(), parts.end(), [&](const auto& it) { return is_servable(it, state, now); });
    return static_cast<std::size_t>(servable) >= parts.needed_count();
}

kernel::duration time_until_servable(const request_parts& parts, const traffic_state& state,
                                     kernel::time_point now) {
    std::vector<kernel::duration> waits;
    waits.reserve(parts.size());
    for (const auto& it : parts) {
        waits.push_back(time_until_servable(it, state, now));
    }
    std::sort(waits.begin(), waits.end());
    return waits.at(parts.needed_count() - 1);
}

}  // namespace poplarfront::gateway
