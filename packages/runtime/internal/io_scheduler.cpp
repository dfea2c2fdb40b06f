#include "runtime/io_scheduler.h"

#include <boost/asio/post.hpp>

namespace poplarfront::runtime {

io_scheduler::io_scheduler(std::shared_ptr<boost::asio::io_context> context)
    : context_(std::move(context)), work_(boost::asio::make_work_guard(*context_)) {}

void io_scheduler::awakened(boost::fibers::context* fiber) noexcept {
    fiber->ready_link(ready_);
}

boost::fibers::context* io_scheduler::pick_next() noexcept {
    if (ready_.empty()) {
        return nullptr;
    }
    auto* fiber = &ready_.front();
    ready_.pop_front();
    return fiber;
}

bool io_scheduler::has_ready_fibers() const noexcept {
    return !ready_.empty();
}

void io_scheduler::suspend_until(const std::chrono::steady_clock::time_point& until) noexcept {
    // run_one_until needs no timer object. A timer that is set and cancelled at each suspension
    // would keep the thread busy, because each cancellation posts a handler.
    if (until == std::chrono::steady_clock::time_point::max()) {
        context_->run_one();
    } else {
        context_->run_one_until(until);
    }
    context_->poll();
}

void io_scheduler::notify() noexcept {
    boost::asio::post(*context_, [] {});
}

}  // namespace poplarfront::runtime
