#include <catch2/catch.hpp>
#include <deque>
#include <map>
#include <set>

#include "admission/admission_controller.h"
#include "admission/slot_queue.h"
#include "kernel/clock_and_random_sources.h"

namespace poplarfront::admission {
namespace {

using std::chrono::milliseconds;

const std::vector<model::service_id> services{model::service_id::trusted("loans")};
const auto searcher = model::searcher_id::trusted("acme");

TEST_CASE("the limit shrinks when latencies rise or requests are shed, and recovers") {
    concurrency_limit<> limit{{20.0, 2.0, 100.0}};
    const auto run_rounds = [&](milliseconds latency, bool shed) {
        for (int round = 0; round < 60; ++round) {
            int started = 0;
            for (; limit.has_room(); ++started) {
                limit.on_start();
            }
            for (; started > 0; --started) {
                limit.on_end({latency, shed});
            }
        }
        return limit.limit();
    };
    const double unloaded = run_rounds(milliseconds{5}, false);
    CHECK(unloaded > 20.0);
    const double overloaded = run_rounds(milliseconds{40}, false);
    CHECK(overloaded < unloaded / 2);
    const double recovered = run_rounds(milliseconds{5}, false);
    CHECK(recovered > overloaded * 2);
    CHECK(run_rounds(milliseconds{5}, true) == 2.0);
}

TEST_CASE("an unused limit does not grow") {
    concurrency_limit<> limit;
    for (int i = 0; i < 1000; ++i) {
        limit.on_start();
        limit.on_end({milliseconds{5}, false});
    }
    CHECK(limit.limit() <= 20.0);
}

TEST_CASE("a request that ends without a sample frees its place and does not change the limit") {
    concurrency_limit<> limit{{1.0, 1.0, 100.0}};
    limit.on_start();
    CHECK_FALSE(limit.has_room());
    limit.on_end_without_sample();
    CHECK(limit.has_room());
    CHECK(limit.limit() == 1.0);
}

TEST_CASE("slots go to the earliest deadlines, and no more requests start than there are slots") {
    kernel::manual_clock clock;
    slot_queue queue{clock, {1, 8, milliseconds{2}}};
    const auto offer = [&](std::uint64_t id, milliseconds time_left) {
        return queue.offer({id, clock.now() + time_left});
    };
    CHECK(offer(1, milliseconds{50}) == slot_decisions{{1}, {}});
    CHECK(offer(2, milliseconds{50}) == slot_decisions{});
    CHECK(offer(3, milliseconds{30}) == slot_decisions{});
    CHECK(queue.release(milliseconds{2}) == slot_decisions{{3}, {}});
    CHECK(queue.cancel(2));
    CHECK_FALSE(queue.cancel(3));
    CHECK(queue.release(std::nullopt) == slot_decisions{});
    CHECK(queue.busy() == 0);
}

TEST_CASE("a request that is expected to wait beyond its deadline is refused immediately") {
    kernel::manual_clock clock;
    slot_queue queue{clock, {1, 3, milliseconds{10}}};
    const auto offer = [&](std::uint64_t id, milliseconds time_left) {
        return queue.offer({id, clock.now() + time_left});
    };
    CHECK(offer(1, milliseconds{9}).refused == std::vector<refusal>{{1, refusal_reason::no_time}});
    offer(2, milliseconds{100});
    offer(3, milliseconds{100});
    offer(4, milliseconds{100});
    CHECK(offer(5, milliseconds{20}) == slot_decisions{});
    CHECK(offer(6, milliseconds{24}).refused == std::vector<refusal>{{6, refusal_reason::no_time}});
    CHECK(offer(7, milliseconds{99}).refused ==
          std::vector<refusal>{{7, refusal_reason::queue_full}});
    clock.set(queue.next_timer());
    CHECK(queue.on_timer() == slot_decisions{{}, {{5, refusal_reason::no_time}}});
    CHECK(queue.resize(2) == slot_decisions{{3}, {}});
}

/// Simulates, in steps of 1 ms, a backend server with a fixed number of slots behind a slot queue.
class slot_simulation {
public:
    static constexpr std::uint32_t slots = 2;
    static constexpr milliseconds execution{4};

    void offer(std::uint64_t id, milliseconds time_left) {
        deadlines_.emplace(id, clock_.now() + time_left);
        apply(queue_.offer({id, clock_.now() + time_left}));
    }

    void step() {
        clock_.advance(milliseconds{1});
        while (!executing_.empty() && executing_.begin()->first <= clock_.now()) {
            in_time += clock_.now() <= deadlines_.at(executing_.begin()->second) ? 1 : 0;
            executing_.erase(executing_.begin());
            apply(queue_.release(execution));
        }
        apply(queue_.on_timer());
    }

    std::size_t started = 0;
    std::size_t refused = 0;
    std::size_t in_time = 0;
    std::size_t max_executing = 0;

private:
    void apply(const slot_decisions& decisions) {
        for (const auto id : decisions.started) {
            executing_.emplace(clock_.now() + execution, id);
        }
        started += decisions.started.size();
        refused += decisions.refused.size();
        max_executing = std::max(max_executing, executing_.size());
    }

    kernel::manual_clock clock_;
    slot_queue<kernel::manual_clock> queue_{clock_, {slots, 64, execution}};
    std::multimap<kernel::time_point, std::uint64_t> executing_;
    std::map<std::uint64_t, kernel::time_point> deadlines_;
};

TEST_CASE("under overload the slots stay busy and every started request ends in time") {
    kernel::seeded_random_source random{11};
    slot_simulation simulation;
    constexpr std::size_t simulated_ms = 20'000;
    std::uint64_t offered = 0;
    for (std::size_t ms = 0; ms < simulated_ms; ++ms) {
        simulation.step();
        for (auto n = kernel::uniform_below(random, 5); n > 0; --n) {
            simulation.offer(offered++, milliseconds{2 + kernel::uniform_below(random, 60)});
        }
    }
    for (int ms = 0; ms < 100; ++ms) {
        simulation.step();
    }
    const double capacity = static_cast<double>(slot_simulation::slots * simulated_ms) /
                            static_cast<double>(slot_simulation::execution.count());
    CHECK(simulation.max_executing == slot_simulation::slots);
    CHECK(simulation.started + simulation.refused == offered);
    CHECK(simulation.in_time == simulation.started);
    CHECK(static_cast<double>(simulation.in_time) >= 0.97 * capacity);
}

struct recording_listener {
    std::vector<std::uint64_t> started;
    std::set<std::uint64_t> refused;
    void start(std::uint64_t id) { started.push_back(id); }
    void refuse(const refusal& it) { refused.insert(it.id); }
};

TEST_CASE("every request is started or refused exactly once, within the limit") {
    kernel::manual_clock clock;
    kernel::seeded_random_source random{5};
    recording_listener listener;
    admission_controller controller{clock,
                                    listener,
                                    share_table{{{{searcher, std::nullopt}, {50.0, 1.0, 5.0, 20}}}},
                                    {},
                                    {4.0, 1.0, 8.0}};
    constexpr std::uint64_t offered = 5'000;
    std::size_t ended = 0;
    for (std::uint64_t id = 0; id < offered; ++id) {
        clock.advance(std::chrono::microseconds{kernel::uniform_below(random, 3000)});
        controller.on_timer();
        const milliseconds time_left{1 + kernel::uniform_below(random, 40)};
        controller.on_request(searcher, services, {id, clock.now() + time_left});
        CHECK(listener.started.size() - ended <= 8);
        const auto shed = kernel::uniform_below(random, 50) == 0;
        if (listener.started.size() > ended && kernel::uniform_below(random, 2) == 0) {
            ++ended;
            controller.on_end({milliseconds{5}, shed});
        }
    }
    clock.advance(std::chrono::seconds{1});
    controller.on_timer();
    CHECK(controller.waiting() == 0);
    const std::set<std::uint64_t> started{listener.started.begin(), listener.started.end()};
    CHECK(started.size() == listener.started.size());
    CHECK(started.size() + listener.refused.size() == offered);
    CHECK_FALSE(listener.refused.empty());
}

TEST_CASE("no more requests start than the maximum of requests in flight") {
    kernel::manual_clock clock;
    recording_listener listener;
    admission_controller controller{
        clock, listener, share_table{{{{searcher, std::nullopt}, {50.0, 1.0, 5.0, 20}}}}};
    controller.on_max_in_flight(1.0);
    controller.on_request(searcher, services, {1, clock.now() + milliseconds{100}});
    controller.on_request(searcher, services, {2, clock.now() + milliseconds{100}});
    CHECK(listener.started == std::vector<std::uint64_t>{1});
    controller.on_end({milliseconds{5}, false});
    CHECK(listener.started == std::vector<std::uint64_t>{1, 2});
}

/// A request that a controller started, with the times of its start and its end.
struct started_request {
    std::uint64_t id = 0;
    kernel::time_point started_at;
    kernel::time_point ends_at;
};

struct queueing_listener {
    const kernel::manual_clock& clock;
    std::deque<started_request> queue;
    void start(std::uint64_t id) { queue.push_back({id, clock.now()}); }
    void refuse(const refusal& /*refused*/) {}
};

/// Simulates, in steps of 1 ms, a tier with a fixed number of slots behind a controller; counts the
/// requests that end in time.
class overloaded_tier {
public:
    static constexpr std::size_t slots = 16;
    static constexpr milliseconds execution{8};

    void step(std::size_t arrivals) {
        clock_.advance(milliseconds{1});
        for (std::size_t i = 0; i < arrivals; ++i) {
            arrival_times_.push_back(clock_.now());
            controller_.on_request(searcher, services,
                                   {arrival_times_.size() - 1, clock_.now() + time_limit});
        }
        while (!executing_.empty() && executing_.front().ends_at <= clock_.now()) {
            const auto ended = executing_.front();
            executing_.pop_front();
            in_time_ += clock_.now() - arrival_times_[ended.id] <= time_limit ? 1 : 0;
            controller_.on_end({clock_.now() - ended.started_at, false});
        }
        while (executing_.size() < slots && !listener_.queue.empty()) {
            executing_.push_back(listener_.queue.front());
            executing_.back().ends_at = clock_.now() + execution;
            listener_.queue.pop_front();
        }
    }

    [[nodiscard]] std::size_t in_time() const { return in_time_; }

private:
    static constexpr milliseconds time_limit{100};

    kernel::manual_clock clock_;
    queueing_listener listener_{clock_, {}};
    std::deque<started_request> executing_;
    std::vector<kernel::time_point> arrival_times_;
    std::size_t in_time_ = 0;
    admission_controller<kernel::manual_clock, queueing_listener> controller_{
        clock_, listener_, {{{{searcher, std::nullopt}, {200.0, 1.0, 5.0, 2000}}}}};
};

TEST_CASE("under a load of five times the capacity, goodput is at least 90% of the capacity") {
    constexpr std::size_t simulated_ms = 10'000;
    constexpr std::size_t arrivals_per_ms =
        5 * overloaded_tier::slots / overloaded_tier::execution.count();
    overloaded_tier tier;
    for (std::size_t ms = 0; ms < simulated_ms; ++ms) {
        tier.step(arrivals_per_ms);
    }
    const double capacity = static_cast<double>(overloaded_tier::slots * simulated_ms) /
                            static_cast<double>(overloaded_tier::execution.count());
    CHECK(static_cast<double>(tier.in_time()) >= 0.9 * capacity);
}

}  // namespace
}  // namespace poplarfront::admission
