#pragma once

#include <memory>
#include <utility>

#include "store/store_client.h"

namespace poplarfront::store {

/// Forwards completions to a target that it refers to weakly; completions for a target that no
/// longer exists are dropped. `Target` has on_read and on_write as store_completion_handler
/// requires.
///
/// Thread safety: `bind` and the completions run on the thread of the target.
template <class Target>
class weak_completion_handler {
public:
    /// Sets the target. This is not done by the constructor because the store, which needs the
    /// completion handler, is created before the target that uses it.
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
