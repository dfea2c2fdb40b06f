#include "daemon/slot_gate.h"

namespace poplarfront::daemon {

bool slot_gate::acquire(kernel::time_point deadline) {
    const auto id = ++last_id_;
    const auto promise = std::make_shared<granted>();
    auto future = promise->get_future();
    waiting_.emplace(id, promise);
    pass_on(queue_.offer({id, deadline}));
    if (future.wait_until(deadline) == boost::fibers::future_status::ready) {
        return future.get();
    }
    queue_.cancel(id);
    // The slot may have been granted while the fiber was being resumed.
    if (waiting_.erase(id) == 0 && future.get()) {
        release(std::nullopt);
    }
    return false;
}

void slot_gate::release(std::optional<kernel::duration> execution) {
    pass_on(queue_.release(execution));
}

void slot_gate::resize(std::uint32_t slots) {
    if (slots != slots_) {
        slots_ = slots;
        pass_on(queue_.resize(slots));
    }
}

void slot_gate::pass_on(const admission::slot_decisions& step) {
    const auto settle = [&](std::uint64_t id, bool value) {
        if (const auto it = waiting_.find(id); it != waiting_.end()) {
            const auto promise = it->second;
            waiting_.erase(it);
            promise->set_value(value);
        }
    };
    for (const auto id : step.started) {
        settle(id, true);
    }
    for (const auto& refused : step.refused) {
        settle(refused.id, false);
    }
}

}  // namespace poplarfront::daemon
