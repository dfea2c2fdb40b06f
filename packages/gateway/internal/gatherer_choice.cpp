#include "gateway/gatherer_choice.h"

#include <algorithm>

namespace poplarfront::gateway {
namespace {

/// How much larger than the median a gatherer is. A hop to an instance of about the same size costs
/// more than it saves.
constexpr double least_ratio = 2;
/// Part of the processor time of all instances that gatherers have at least. With less they would
/// be overloaded as soon as one of them fails.
constexpr double least_part = 0.1;
/// Part of the common limits that is for gatherers. The others need the rest while they do not
/// reach any gatherer.
constexpr double gatherers_part = 0.75;

double median_capacity(const std::vector<registered_instance>& instances) {
    std::vector<double> sizes;
    sizes.reserve(instances.size());
    for (const auto& it : instances) {
        sizes.push_back(it.capacity);
    }
    const auto middle = sizes.begin() + static_cast<std::ptrdiff_t>(sizes.size() / 2);
    std::nth_element(sizes.begin(), middle, sizes.end());
    return *middle;
}

double total_capacity(const std::vector<registered_instance>& instances) {
    double total = 0;
    for (const auto& it : instances) {
        total += it.capacity;
    }
    return total;
}

}  // namespace

gatherer_choice choose_gatherers(const std::string& own_name,
                                 const std::vector<registered_instance>& instances) {
    gatherer_choice choice;
    if (instances.empty()) {
        return choice;
    }
    const double bound = least_ratio * median_capacity(instances);
    for (const auto& it : instances) {
        if (bound > 0 && it.capacity >= bound) {
            choice.gatherers.push_back(it);
            choice.is_gatherer = choice.is_gatherer || it.name == own_name;
        }
    }
    if (total_capacity(choice.gatherers) < least_part * total_capacity(instances)) {
        choice.gatherers.clear();
        choice.is_gatherer = false;
    }
    const auto all = static_cast<double>(instances.size());
    const auto gathering = static_cast<double>(choice.gatherers.size());
    if (choice.gatherers.empty()) {
        choice.share = 1 / all;
    } else if (choice.is_gatherer) {
        choice.share = gatherers_part / gathering;
    } else {
        choice.share = (1 - gatherers_part) / (all - gathering);
    }
    return choice;
}

}  // namespace poplarfront::gateway
