#pragma once

#include <string>
#include <vector>

#include "gateway/registered_instance.h"

namespace poplarfront::gateway {

/// Which instances gather for the others, and what part of the limits that all instances share each
/// one may use for the shards of gathers.
struct delegate_selection {
    /// Those that gather for the instance asked for; empty if each instance gathers for itself.
    std::vector<registered_instance> delegates;
    /// Of the instance asked for; all shares together are at most 1.
    double share = 1;
    /// Whether the instance asked for is a delegate.
    bool is_delegate = false;
    friend auto operator<=>(const delegate_selection&, const delegate_selection&) = default;
};

/// Chooses the instances with much more processor time than most, if they have enough of it for all
/// gathers. Of many such each instance gets a few, half of them in its own data centre, so that
/// connections do not grow with the square of the fleet. Thread-safe.
delegate_selection select_delegates(const std::string& own_name,
                                    const std::vector<registered_instance>& instances);

}  // namespace poplarfront::gateway
