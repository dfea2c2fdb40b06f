#pragma once

#include <string>
#include <vector>

#include "gateway/registered_instance.h"

namespace poplarfront::gateway {

/// Which instances gather for the others, and what part of the limits that all instances share each
/// one may use for the shards of gathers.
struct gatherer_choice {
    /// Those that gather for the instance asked for; empty if each instance gathers for itself.
    std::vector<registered_instance> gatherers;
    /// Of the instance asked for; all shares together are at most 1.
    double share = 1;
    /// Whether the instance asked for is a gatherer.
    bool is_gatherer = false;
    friend auto operator<=>(const gatherer_choice&, const gatherer_choice&) = default;
};

/// Chooses the instances with much more processor time than most, if they have enough of it for all
/// gathers. Of many such each instance gets a few, half of them in its own data centre, so that
/// connections do not grow with the square of the fleet. Thread-safe.
gatherer_choice choose_gatherers(const std::string& own_name,
                                 const std::vector<registered_instance>& instances);

}  // namespace poplarfront::gateway
