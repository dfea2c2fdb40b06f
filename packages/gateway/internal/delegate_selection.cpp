#include "gateway/delegate_selection.h"

#include <algorithm>

#include "model/identifier.h"

namespace poplarfront::gateway {
namespace {

/// Minimum capacity of a delegate, as a multiple of the median. Delegation to an instance of about
/// the same size costs more than it saves.
constexpr double min_capacity_ratio = 2;
/// Minimum capacity of all delegates together, as a fraction of the capacity of all instances. With
/// less they would be overloaded as soon as one of them fails.
constexpr double min_capacity_fraction = 0.1;
/// Fraction of the common limits that is for the delegates. The other instances need the rest when
/// they cannot reach any delegate.
constexpr double delegate_limit_fraction = 0.75;

/// Maximum number of delegates that one instance uses. It is large enough that some of them can
/// fail at the same time.
constexpr std::size_t max_delegates_per_instance = 8;

/// Keeps at most `max_delegates_per_instance` delegates, different ones for each instance.
void limit_delegates(std::vector<registered_instance>& delegates, const std::string& own_name,
                     const std::vector<registered_instance>& instances) {
    if (delegates.size() <= max_delegates_per_instance) {
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
    // At most half of them are in the own data centre if there are enough elsewhere.
    const auto near_count = static_cast<std::size_t>(near_end - delegates.begin());
    if (near_count > max_delegates_per_instance / 2) {
        const auto surplus = std::min(near_count - max_delegates_per_instance / 2,
                                      delegates.size() - max_delegates_per_instance);
        delegates.erase(near_end - static_cast<std::ptrdiff_t>(surplus), near_end);
    }
    delegates.resize(std::min(delegates.size(), max_delegates_per_instance));
}

double median_capacity(const std::vector<registered_instance>& instances) {
    std::vector<double> capacities;
    capacities.reserve(instances.size());
    for (const auto& it : instances) {
        capacities.push_back(it.capacity);
    }
    const auto middle = capacities.begin() + static_cast<std::ptrdiff_t>(capacities.size() / 2);
    std::nth_element(capacities.begin(), middle, capacities.end());
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
    delegate_selection selection;
    if (instances.empty()) {
        return selection;
    }
    const double min_capacity = min_capacity_ratio * median_capacity(instances);
    for (const auto& it : instances) {
        if (min_capacity > 0 && it.capacity >= min_capacity) {
            selection.delegates.push_back(it);
            selection.is_delegate = selection.is_delegate || it.name == own_name;
        }
    }
    if (total_capacity(selection.delegates) < min_capacity_fraction * total_capacity(instances)) {
        selection.delegates.clear();
        selection.is_delegate = false;
    }
    const auto instance_count = static_cast<double>(instances.size());
    const auto delegate_count = static_cast<double>(selection.delegates.size());
    if (selection.delegates.empty()) {
        selection.share = 1 / instance_count;
    } else if (selection.is_delegate) {
        selection.share = delegate_limit_fraction / delegate_count;
    } else {
        selection.share = (1 - delegate_limit_fraction) / (instance_count - delegate_count);
    }
    limit_delegates(selection.delegates, own_name, instances);
    return selection;
}

}  // namespace poplarfront::gateway
