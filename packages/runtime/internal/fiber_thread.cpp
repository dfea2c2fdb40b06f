#include "runtime/fiber_thread.h"

#include <pthread.h>

#include <boost/asio/post.hpp>
#include <boost/fiber/fiber.hpp>
#include <boost/fiber/future.hpp>
#include <boost/fiber/operations.hpp>
#include <future>

#include "runtime/io_scheduler.h"

namespace poplarfront::runtime {

struct fiber_thread::stop_signal {
    boost::fibers::promise<void> requested;
};

std::shared_ptr<fiber_thread> fiber_thread::create(std::string name) {
    return std::shared_ptr<fiber_thread>(new fiber_thread(std::move(name)));
}

fiber_thread::fiber_thread(std::string name)
    : name_(std::move(name)),
      context_(std::make_shared<boost::asio::io_context>(1)),
      stop_signal_(std::make_shared<stop_signal>()) {
    thread_ = std::thread([context = context_, signal = stop_signal_, name = name_] {
        constexpr std::size_t max_thread_name_length = 15;
        pthread_setname_np(pthread_self(), name.substr(0, max_thread_name_length).c_str());
        boost::fibers::use_scheduling_algorithm<io_scheduler>(context);
        signal->requested.get_future().wait();
    });
}

fiber_thread::~fiber_thread() {
    stop();
}

void fiber_thread::spawn(std::function<void()> body) {
    boost::asio::post(*context_, [body = std::move(body)]() mutable {
        boost::fibers::fiber(boost::fibers::launch::post, std::move(body)).detach();
    });
}

void fiber_thread::run(std::function<void()> body) {
    auto done = std::make_shared<std::promise<void>>();
    auto future = done->get_future();
    spawn([body = std::move(body), done] {
        body();
        done->set_value();
    });
    future.wait();
}

void fiber_thread::stop() {
    if (thread_.joinable()) {
        stop_signal_->requested.set_value();
        thread_.join();
    }
}

}  // namespace poplarfront::runtime
