#pragma once

#include <boost/fiber/fiber.hpp>
#include <boost/fiber/future.hpp>
#include <boost/fiber/operations.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>

#include "configuration/head.h"
#include "kernel/clock_and_random_sources.h"
#include "store/store_client.h"

namespace poplarfront::configuration::testing {

/// Runs events in the order of a virtual time. Bodies passed to `spawn` may wait for later events.
class virtual_time {
public:
    explicit virtual_time(std::uint64_t seed) : random(seed) {}

    [[nodiscard]] kernel::time_point now() const { return now_; }

    void at(kernel::time_point when, std::function<void()> event) {
        events_.emplace(std::max(when, now_), std::move(event));
    }
    void after(kernel::duration delay, std::function<void()> event) {
        at(now_ + delay, std::move(event));
    }
    void spawn(std::function<void()> body) {
        after({}, [body = std::move(body)] { boost::fibers::fiber(body).detach(); });
    }
    void sleep_until(kernel::time_point until) {
        auto woken = std::make_shared<boost::fibers::promise<void>>();
        at(until, [woken] { woken->set_value(); });
        woken->get_future().get();
    }

    /// Precondition: not called from a spawned body.
    void run_until(kernel::time_point limit) {
        while (!events_.empty() && events_.begin()->first <= limit) {
            auto event = events_.extract(events_.begin());
            now_ = event.key();
            event.mapped()();
            // Every fiber that the event made ready runs until it waits for a later event.
            boost::this_fiber::yield();
        }
        now_ = limit;
    }

    [[nodiscard]] bool chance(double probability) {
        return kernel::uniform_unit(random) < probability;
    }
    [[nodiscard]] kernel::duration between(std::chrono::microseconds low,
                                           std::chrono::microseconds high) {
        return low + std::chrono::microseconds{kernel::uniform_below(
                         random, static_cast<std::uint64_t>((high - low).count()) + 1)};
    }

    kernel::seeded_random_source random;

private:
    kernel::time_point now_{std::chrono::seconds{1}};
    std::multimap<kernel::time_point, std::function<void()>> events_;
};

/// A store with delays, outages, lost requests and lost replies.
class fake_store {
public:
    explicit fake_store(virtual_time& time) : time_(time) {}

    store::read_outcome read(const std::string& key, kernel::time_point deadline) {
        return call<store::read_outcome>(deadline, [this, key] {
            return store::read_outcome{store::store_status::ok, values[key]};
        });
    }
    store::write_outcome compare_and_swap(const std::string& key, std::uint64_t version,
                                          const std::string& bytes, kernel::time_point deadline) {
        return call<store::write_outcome>(
            deadline, [this, key, version, bytes] { return write(key, version, bytes); });
    }
    store::read_outcome watch(const std::string& key, std::uint64_t, kernel::time_point deadline) {
        return read(key, deadline);
    }

    double lost_requests = 0;
    double lost_replies = 0;
    bool down = false;
    /// Switches compare-and-swap off: any write succeeds.
    bool ignores_versions = false;
    std::map<std::string, store::store_value> values;
    /// Called after each write that took effect.
    std::function<void(const std::string& key)> on_write = [](const std::string&) {};

private:
    store::write_outcome write(const std::string& key, std::uint64_t version,
                               const std::string& bytes) {
        auto& value = values[key];
        if (value.version != version && !ignores_versions) {
            return {store::store_status::conflict, value.version};
        }
        value = {bytes, ++last_version_};
        on_write(key);
        return {store::store_status::ok, value.version};
    }

    template <class Outcome>
    Outcome call(kernel::time_point deadline, std::function<Outcome()> effect) {
        auto promise = std::make_shared<boost::fibers::promise<Outcome>>();
        auto finish = [promise, done = std::make_shared<bool>(false)](Outcome outcome) {
            if (!std::exchange(*done, true)) {
                promise->set_value(std::move(outcome));
            }
        };
        time_.at(deadline, [finish] { finish(Outcome{store::store_status::unknown, {}}); });
        time_.after(delay(), [this, finish, effect = std::move(effect)] {
            if (time_.chance(lost_requests)) {
                return;
            }
            auto outcome = down ? Outcome{store::store_status::unavailable, {}} : effect();
            if (!time_.chance(lost_replies)) {
                time_.after(delay(), [finish, outcome = std::move(outcome)] { finish(outcome); });
            }
        });
        return promise->get_future().get();
    }

    /// Mostly short; a few requests arrive after their caller has stopped waiting.
    kernel::duration delay() {
        using std::chrono::microseconds;
        constexpr double slow_calls = 0.02;
        return time_.chance(slow_calls)
                   ? time_.between(microseconds{500'000}, microseconds{2'000'000})
                   : time_.between(microseconds{500}, microseconds{4'000});
    }

    virtual_time& time_;
    std::uint64_t last_version_ = 0;
};

}  // namespace poplarfront::configuration::testing
