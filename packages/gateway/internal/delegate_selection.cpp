#include "gateway/delegate_selection.h"

#include <algorithm>

#include "model/identifier.h"

namespace poplarfront::gateway {
namespace {

/// How much larger than the median a delegate is. A hop to an instance of about the same size costs
/// more than it saves.
constexpr double least_ratio = 2;
/// Part of the processor time of all instances that delegates have at least. With less they would
/// be overloaded as soon as one of them fails.
constexpr double least_part = 0.1;
/// Part of the common limits that is for delegates. The others need the rest while they do not
/// reach any delegate.
constexpr double gatherers_part = 0.75;

/// Gatherers of one instance. Some of them may fail at the same time.
constexpr std::size_t most_gatherers = 8;

/// Keeps a few delegates, other ones for each instance.
void keep_some(std::vector<registered_instance>& delegates, const std::string& own_name,
               const std::vector<registered_instance>& instances) {
    if (delegates.size() <= most_gatherers) {
        return;
    }
    const auto self = std::find_if(instances.begin(), instances.end(),
                                   [&](const auto& it) { return it.name == own_name; });
    const auto rank = [&](const auto& it) { return model::stable_hash(it.name + own_name); };
    std::sort(delegates.begin(), delegates.end(),
              [&](const auto& a, const auto& b) { return rank(a) < rank(b); });
    const auto is_near = [&](const auto& it) {
        return self != instances.end() && it.data_centre == self->data_centre;
    };
    const auto near_end = std::stable_partition(delegates.begin(), delegates.end(), is_near);
    // Half of them near, the rest from anywhere else.
    const auto near = static_cast<std::size_t>(near_end - delegates.begin());
    if (near > most_gatherers / 2) {
        const auto surplus = std::min(near - most_gatherers / 2, delegates.size() - most_gatherers);
        delegates.erase(near_end - static_cast<std::ptrdiff_t>(surplus), near_end);
    }
    delegates.resize(std::min(delegates.size(), most_gatherers));
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

delegate_selection select_delegates(const std::string& own_name,
                                    const std::vector<registered_instance>& instances) {
    delegate_selection choice;
    if (instances.empty()) {
        return choice;
    }
    const double bound = least_ratio * median_capacity(instances);
    for (const auto& it : instances) {
        if (bound > 0 && it.capacity >= bound) {
            choice.delegates.push_back(it);
            choice.is_delegate = choice.is_delegate || it.name == own_name;
        }
    }
    if (total_capacity(choice.delegates) < least_part * total_capacity(instances)) {
        choice.delegates.clear();
        choice.is_delegate = false;
    }
    const auto all = static_cast<double>(instances.size());
    const auto gathering = static_cast<double>(choice.delegates.size());
    if (choice.delegates.empty()) {
        choice.share = 1 / all;
    } else if (choice.is_delegate) {
        choice.share = gatherers_part / gathering;
    } else {
        choice.share = (1 - gatherers_part) / (all - gathering);
    }
    keep_some(choice.delegates, own_name, instances);
    return choice;
}

}  // namespace poplarfront::gateway
