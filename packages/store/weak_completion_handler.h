#pragma once

#include <memory>
#include <utility>

#include "store/store_client.h"

namespace poplarfront::store {

/// Passes completions on to a target that may be gone by then; those are dropped. Target takes
/// on_read and on_write as store_completion_handler states.
///
/// Thread safety: `bind` and the completions run on the thread of the target.
template <class Target>
class weak_completion_handler {
public:
    /// Sets the target; the store that the target uses exists before the target itself.
    void bind(std::weak_ptr<Target> target) { target_ = std::move(target); }

    void on_read(call_id call, const read_outcome& outcome) {
        if (const auto target = target_.lock()) {
            target->on_read(call, outcome);
        }
    }

    void on_write(call_id call, const write_outcome& outcome) {
        if (const auto target = target_.lock()) {
            target->on_write(call, outcome);
        }
    }

private:
    std::weak_ptr<Target> target_;
};

}  // namespace poplarfront::store
