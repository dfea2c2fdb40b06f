#include "gateway/request_parts.h"

#include <algorithm>
#include <cmath>
#include <variant>

#include "gateway/weighted_choice.h"

namespace poplarfront::gateway {
namespace {

std::size_t count_for_coverage(double min_coverage, std::size_t part_count) {
    // Products such as 0.89 * 100 may be slightly above the whole number because of rounding.
    constexpr double rounding = 1e-9;
    const auto parts = static_cast<double>(part_count);
    return std::max<std::size_t>(
        1, static_cast<std::size_t>(std::ceil(min_coverage * parts - rounding)));
}

}  // namespace

request_parts request_parts::create(const route& route, const fleet_view& view,
                                    kernel::seeded_random_source& random) {
    request_parts parts;
    if (const auto* gather = std::get_if<gather_plan>(&route.target)) {
        parts.parts_.reserve(gather->shards->size());
        for (const auto& service : *gather->shards) {
            parts.add(service, view);
        }
        parts.needed_count_ = count_for_coverage(gather->min_coverage, parts.size());
    } else if (const auto* split = std::get_if<weighted_split>(&route.target)) {
        parts.add(choose_weighted(*split, kernel::uniform_unit(random)), view);
    } else {
        parts.add(std::get<model::service_id>(route.target), view);
    }
    return parts;
}

void request_parts::add(const model::service_id& service, const fleet_view& view) {
    request_part part;
    part.service = service;
    part.backends = &view.backends_of(service);
    parts_.push_back(std::move(part));
}

std::size_t request_parts::count(part_state state) const {
    return static_cast<std::size_t>(std::count_if(
        parts_.begin(), parts_.end(), [&](const auto& it) { return it.state == state; }));
}

bool request_parts::has_not_run() const {
    return std::none_of(parts_.begin(), parts_.end(), [](const auto& it) {
        return it.may_have_run || it.in_flight > 0 || it.state == part_state::answered;
    });
}

}  // namespace poplarfront::gateway
