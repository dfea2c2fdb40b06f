#pragma once

#include <memory>
#include <vector>

#include "daemon/entry_gate.h"

namespace poplarfront::daemon {

/// The entry gates of all traffic threads, by thread. Searches and actions of a thread pass the
/// same gate, since they share its limit and the searchers' shares. Immutable.
struct entry_gates {
    std::vector<std::shared_ptr<entry_gate>> gates;
};

}  // namespace poplarfront::daemon
