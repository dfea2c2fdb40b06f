#pragma once

#include <string>
#include <vector>

#include "gateway/registered_instance.h"

namespace poplarfront::gateway {

/// The delegates of one instance, and the fraction of the common limits of shards that the instance
/// may use.
struct delegate_selection {
    /// Instances that run gathers for this one; empty if each instance runs its own gathers.
    std::vector<registered_instance> delegates;
    /// Fraction of the common limits. The fractions of all instances add up to at most 1.
    double share = 1;
    /// Whether this instance is a delegate of others.
    bool is_delegate = false;
    friend auto operator<=>(const delegate_selection&, const delegate_selection&) = default;
};

/// Makes the selection for instance `own_name`. Delegates are the instances with much more
/// processor time than the median, if they have enough of it for all gathers. If there are many of
/// them, each instance uses only a few, half of them in its own data centre, so that the number of
/// connections does not grow with the square of the fleet size. Thread-safe.
delegate_selection select_delegates(const std::string& own_name,
                                    const std::vector<registered_instance>& instances);

}  // namespace poplarfront::gateway
