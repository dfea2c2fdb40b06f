#pragma once

#include <memory>
#include <vector>

#include "daemon/search_worker.h"

namespace poplarfront::daemon {

/// The search workers of all traffic threads; never empty. Immutable once modules have started.
struct search_workers {
    std::vector<std::shared_ptr<search_worker>> workers;

    /// The worker that executes the batches of a request.
    [[nodiscard]] const std::shared_ptr<search_worker>& of(const model::request_id& request) const {
        return workers[model::stable_hash(request.text()) % workers.size()];
    }
};

}  // namespace poplarfront::daemon
