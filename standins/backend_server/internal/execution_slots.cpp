#include "backend_server/execution_slots.h"

#include <algorithm>
#include <mutex>

namespace poplarfront::standins {

void open_request::cancel() {
    cancelled_ = true;
    changed_.notify_all();
}

bool open_request::execute(kernel::duration time, kernel::time_point deadline) {
    const auto end = std::chrono::steady_clock::now() + time;
    std::unique_lock lock{mutex_};
    changed_.wait_until(lock, std::min(end, deadline), [this] { return cancelled_; });
    return !cancelled_ && end <= deadline;
}

slot_outcome execution_slots::acquire(open_request& request, kernel::time_point deadline) {
    if (busy_ < slots_ && waiting_.empty()) {
        ++busy_;
        return slot_outcome::acquired;
    }
    if (waiting_.size() >= queue_) {
        return slot_outcome::queue_full;
    }
    const auto position = waiting_.insert(waiting_.end(), &request);
    std::unique_lock lock{request.mutex_};
    request.changed_.wait_until(lock, deadline,
                                [&] { return request.granted_ || request.cancelled_; });
    if (request.granted_) {
        return slot_outcome::acquired;
    }
    waiting_.erase(position);
    return request.cancelled_ ? slot_outcome::cancelled : slot_outcome::deadline_passed;
}

void execution_slots::release() {
    --busy_;
    grant();
}

void execution_slots::resize(std::uint32_t slots, std::uint32_t queue) {
    slots_ = slots;
    queue_ = queue;
    grant();
}

void execution_slots::grant() {
    while (busy_ < slots_ && !waiting_.empty()) {
        auto* const next = waiting_.front();
        waiting_.pop_front();
        next->granted_ = true;
        ++busy_;
        next->changed_.notify_all();
    }
}

}  // namespace poplarfront::standins
