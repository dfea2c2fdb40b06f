#pragma once

#include <string>
#include <vector>

#include "gateway/registered_instance.h"

namespace poplarfront::gateway {

/// The delegates of one instance, and the fraction of the common limits of shards (see fleet_view)
/// that the instance may use.
struct delegate_selection {
    /// The delegates that this instance may use; empty if each instance runs its own gathers. Not
    /// used if `is_delegate` is set, since a delegate runs its own gathers.
    std::vector<registered_instance> delegates;
    /// Fraction of the common limits. The fractions of all instances add up to at most 1.
    double share = 1;
    /// Whether this instance is a delegate of others.
    bool is_delegate = false;
    friend auto operator<=>(const delegate_selection&, const delegate_selection&) = default;
};

/// Makes the selection for instance `own_name`. Delegates are the instances with a multiple of the
/// median capacity, provided that together they have enough capacity for the gathers of all
/// instances. If there are many of them, each instance uses only a few, so that the number of
/// connections does not grow with the square of the fleet size. At most half of these are in its
/// own data centre if there are enough in others. Thread-safe.
delegate_selection select_delegates(const std::string& own_name,
                                    const std::vector<registered_instance>& instances);

}  // namespace poplarfront::gateway
