#pragma once

#include <boost/fiber/future.hpp>
#include <concepts>
#include <functional>
#include <memory>
#include <optional>
#include <utility>

#include "kernel/concepts.h"
#include "runtime/fiber_thread.h"
#include "runtime/mailbox.h"

namespace poplarfront::runtime {

/// A state machine that is driven by steps and by its timer.
template <class T>
concept timed_state_machine = requires(T& machine) {
    { machine.next_timer() } -> std::convertible_to<std::optional<kernel::time_point>>;
    { machine.on_timer() } -> std::same_as<void>;
    // Called after each step and timer, to pass on what has changed.
    { machine.after_step() } -> std::same_as<void>;
};

/// Runs a state machine on one fiber, so that its steps never overlap.
///
/// Thread safety: `post` may be called from any fiber of any thread. The machine must outlive the
/// loop.
template <timed_state_machine Machine>
class state_machine_loop : public std::enable_shared_from_this<state_machine_loop<Machine>> {
public:
    /// Starts the fiber. Steps may be posted before.
    static std::shared_ptr<state_machine_loop> create(Machine& machine) {
        return std::shared_ptr<state_machine_loop>(new state_machine_loop(machine));
    }

    void start(const std::shared_ptr<fiber_thread>& thread) {
        thread->spawn([self = this->shared_from_this()] { self->run(); });
    }

    /// Runs `step(machine)` on the loop's fiber, in the order of posting.
    void post(std::function<void(Machine&)> step) { steps_.push(std::move(step)); }

    /// Ends the fiber and waits for it. Precondition: started; the caller is not its thread.
    void stop() {
        post([this](Machine&) { stopping_ = true; });
        ended_.get_future().wait();
    }

private:
    explicit state_machine_loop(Machine& machine) : machine_(machine) {}

    void run() {
        while (!stopping_) {
            const std::optional<kernel::time_point> timer = machine_.next_timer();
            if (auto step = steps_.pop_until(timer.value_or(kernel::time_point::max()))) {
                (*step)(machine_);
            } else {
                machine_.on_timer();
            }
            machine_.after_step();
        }
        ended_.set_value();
    }

    Machine& machine_;
    mailbox<std::function<void(Machine&)>> steps_;
    bool stopping_ = false;
    boost::fibers::promise<void> ended_;
};

}  // namespace poplarfront::runtime
