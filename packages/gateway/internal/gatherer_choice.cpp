#include "gateway/gatherer_choice.h"

#include <algorithm>

#include "model/identifier.h"

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

/// Gatherers of one instance. Some of them may fail at the same time.
constexpr std::size_t most_gatherers = 8;

/// Keeps a few gatherers, other ones for each instance.
void keep_some(std::vector<registered_instance>& gatherers, const std::string& own_name,
               const std::vector<registered_instance>& instances) {
    if (gatherers.size() <= most_gatherers) {
        return;
    }
    const auto self = std::find_if(instances.begin(), instances.end(),
                                   [&](const auto& it) { return it.name == own_name; });
    const auto rank = [&](const auto& it) { return model::stable_hash(it.name + own_name); };
    std::sort(gatherers.begin(), gatherers.end(),
              [&](const auto& a, const auto& b) { return rank(a) < rank(b); });
    const auto is_near = [&](const auto& it) {
        return self != instances.end() && it.data_centre == self->data_centre;
    };
    const auto near_end = std::stable_partition(gatherers.begin(), gatherers.end(), is_near);
    // Half of them near, the rest from anywhere else.
    const auto near = static_cast<std::size_t>(near_end - gatherers.begin());
    if (near > most_gatherers / 2) {
        const auto surplus = std::min(near - most_gatherers / 2, gatherers.size() - most_gatherers);
        gatherers.erase(near_end - static_cast<std::ptrdiff_t>(surplus), near_end);
    }
    gatherers.resize(std::min(gatherers.size(), most_gatherers));
}

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
    keep_some(choice.gatherers, own_name, instances);
    return choice;
}

}  // namespace poplarfront::gateway
