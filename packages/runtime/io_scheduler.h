#pragma once

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/fiber/algo/algorithm.hpp>
#include <boost/fiber/context.hpp>
#include <boost/fiber/scheduler.hpp>
#include <chrono>
#include <memory>

namespace poplarfront::runtime {

/// The Boost.Fiber scheduling algorithm of one thread, built on an io_context: while no fiber is
/// ready, the thread blocks in the io_context until a handler is ready or until the earliest time
/// at which a fiber must resume.
///
/// The scheduler shares ownership of the io_context, because Boost.Fiber destroys the scheduler
/// after the local variables of the thread function.
///
/// Thread safety: `notify` may be called from any thread, the rest from the owning thread only.
class io_scheduler final : public boost::fibers::algo::algorithm {
public:
    explicit io_scheduler(std::shared_ptr<boost::asio::io_context> context);

    void awakened(boost::fibers::context* fiber) noexcept override;
    boost::fibers::context* pick_next() noexcept override;
    [[nodiscard]] bool has_ready_fibers() const noexcept override;
    void suspend_until(const std::chrono::steady_clock::time_point& until) noexcept override;
    void notify() noexcept override;

private:
    using work_guard = boost::asio::executor_work_guard<boost::asio::io_context::executor_type>;

    std::shared_ptr<boost::asio::io_context> context_;
    work_guard work_;
    boost::fibers::scheduler::ready_queue_type ready_;
};

}  // namespace poplarfront::runtime
