#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>
#include <thread>

namespace poplarfront::runtime {

/// A thread that runs fibers and the I/O they wait for.
///
/// Thread safety: all members may be called from any thread, but `run` and `stop` not from this
/// thread itself. Calls of `stop` after the first have no effect.
class fiber_thread {
public:
    /// Starts the thread.
    static std::shared_ptr<fiber_thread> create(std::string name);

    ~fiber_thread();
    fiber_thread(const fiber_thread&) = delete;
    fiber_thread& operator=(const fiber_thread&) = delete;

    /// Runs `body` on a new fiber of this thread.
    void spawn(std::function<void()> body);

    /// Runs `body` on a new fiber of this thread and waits for it. Precondition: the caller is not
    /// a fiber of this thread.
    void run(std::function<void()> body);

    /// Stops the thread after all its fibers have ended. Precondition: the fibers end soon, because
    /// this call waits for them.
    void stop();

    /// The I/O context for the sockets and timers that fibers of this thread use.
    [[nodiscard]] boost::asio::io_context& context() { return *context_; }

private:
    explicit fiber_thread(std::string name);

    struct stop_signal;

    std::string name_;
    std::shared_ptr<boost::asio::io_context> context_;
    std::shared_ptr<stop_signal> stop_signal_;
    std::thread thread_;
};

}  // namespace poplarfront::runtime
