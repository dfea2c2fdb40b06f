#pragma once

#include <algorithm>
#include <functional>
#include <utility>
#include <vector>

namespace poplarfront::kernel {

/// Whether a process accepts new work: it does while all conditions that its modules added hold.
///
/// Thread safety: `add` is called on the main thread before modules start; afterwards `ready` may
/// be called from any thread. Each condition must be safe to call from there.
class readiness {
public:
    using condition = std::function<bool()>;

    void add(condition condition) { conditions_.push_back(std::move(condition)); }

    [[nodiscard]] bool ready() const {
        return std::all_of(conditions_.begin(), conditions_.end(),
                           [](const auto& holds) { return holds(); });
    }

private:
    std::vector<condition> conditions_;
};

}  // namespace poplarfront::kernel
