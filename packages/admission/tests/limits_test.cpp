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
    const auto feed = [&](milliseconds latency, bool shed) {
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
    const double steady = feed(milliseconds{5}, false);
    CHECK(steady > 20.0);
    const double slow = feed(milliseconds{40}, false);
    CHECK(slow < steady / 2);
    const double recovered = feed(milliseconds{5}, false);
    CHECK(recovered > slow * 2);
    CHECK(feed(milliseconds{5}, true) == 2.0);
}

TEST_CASE("an unused limit does not grow") {
    concurrency_limit<> limit;
    for (int i = 0; i < 1000; ++i) {
        limit.on_start();
        limit.on_end({milliseconds{5}, false});
    }
    CHECK(limit.limit() <= 20.0);
}

TEST_CASE("a request that ends without a sample frees its place and leaves the limit as it is") {
    concurrency_limit<> limit{{1.0, 1.0, 100.0}};
    limit.on_start();
    CHECK_FALSE(limit.has_room());
    limit.on_end_without_sample();
    CHECK(limit.has_room());
    CHECK(limit.limit() == 1.0);
}

TEST_CASE("slots go to the earliest deadline and never to more requests than there are slots") {
    kernel::manual_clock clock;
    slot_queue tested{clock, {1, 8, milliseconds{2}}};
    const auto offer = [&](std::uint64_t id, milliseconds wait) {
        return tested.offer({id, clock.now() + wait});
    };
    CHECK(offer(1, milliseconds{50}) == slot_decisions{{1}, {}});
    CHECK(offer(2, milliseconds{50}) == slot_decisions{});
    CHECK(offer(3, milliseconds{30}) == slot_decisions{});
    CHECK(tested.release(milliseconds{2}) == slot_decisions{{3}, {}});
    CHECK(tested.cancel(2));
    CHECK_FALSE(tested.cancel(3));
    CHECK(tested.release(std::nullopt) == slot_decisions{});
    CHECK(tested.busy() == 0);
}

TEST_CASE("a request whose expected wait exceeds its time is refused before it waits") {
    kernel::manual_clock clock;
    slot_queue tested{clock, {1, 3, milliseconds{10}}};
    const auto offer = [&](std::uint64_t id, milliseconds wait) {
        return tested.offer({id, clock.now() + wait});
    };
    CHECK(offer(1, milliseconds{9}).refused == std::vector<refusal>{{1, refusal_reason::no_time}});
    offer(2, milliseconds{100});
    offer(3, milliseconds{100});
    offer(4, milliseconds{100});
    CHECK(offer(5, milliseconds{20}) == slot_decisions{});
    CHECK(offer(6, milliseconds{24}).refused == std::vector<refusal>{{6, refusal_reason::no_time}});
    CHECK(offer(7, milliseconds{99}).refused ==
          std::vector<refusal>{{7, refusal_reason::queue_full}});
    clock.set(tested.next_timer());
    CHECK(tested.on_timer() == slot_decisions{{}, {{5, refusal_reason::no_time}}});
    CHECK(tested.resize(2) == slot_decisions{{3}, {}});
}

/// A backend server with fixed slots behind a slot queue, in steps of 1 ms.
class slot_simulation {
public:
    static constexpr std::uint32_t slots = 2;
    static constexpr milliseconds execution{4};

    void offer(std::uint64_t id, milliseconds wait) {
        deadlines_.emplace(id, clock_.now() + wait);
        apply(queue_.offer({id, clock_.now() + wait}));
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
    std::size_t most_executing = 0;

private:
    void apply(const slot_decisions& next) {
        for (const auto id : next.started) {
            executing_.emplace(clock_.now() + execution, id);
        }
        started += next.started.size();
        refused += next.refused.size();
        most_executing = std::max(most_executing, executing_.size());
    }

    kernel::manual_clock clock_;
    slot_queue<kernel::manual_clock> queue_{clock_, {slots, 64, execution}};
    std::multimap<kernel::time_point, std::uint64_t> executing_;
    std::map<std::uint64_t, kernel::time_point> deadlines_;
};

TEST_CASE("under overload the slots stay busy and every request that starts ends in time") {
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
    CHECK(simulation.most_executing == slot_simulation::slots);
    CHECK(simulation.started + simulation.refused == offered);
    CHECK(simulation.in_time == simulation.started);
    CHECK(static_cast<double>(simulation.in_time) >= 0.97 * capacity);
}

/// Records what a gate decides.
struct recording_output {
    std::vector<std::uint64_t> started;
    std::set<std::uint64_t> refused;
    void start(std::uint64_t id) { started.push_back(id); }
    void refuse(const refusal& it) { refused.insert(it.id); }
};

TEST_CASE("every request is started or refused exactly once, within the limit") {
    kernel::manual_clock clock;
    kernel::seeded_random_source random{5};
    recording_output output;
    admission_controller gate{clock,
                              output,
                              share_table{{{{searcher, std::nullopt}, {50.0, 1.0, 5.0, 20}}}},
                              {},
                              {4.0, 1.0, 8.0}};
    constexpr std::uint64_t offered = 5'000;
    std::size_t ended = 0;
    for (std::uint64_t id = 0; id < offered; ++id) {
        clock.advance(std::chrono::microseconds{kernel::uniform_below(random, 3000)});
        gate.on_timer();
        const milliseconds wait{1 + kernel::uniform_below(random, 40)};
        gate.on_request(searcher, services, {id, clock.now() + wait});
        CHECK(output.started.size() - ended <= 8);
        const auto shed = kernel::uniform_below(random, 50) == 0;
        if (output.started.size() > ended && kernel::uniform_below(random, 2) == 0) {
            ++ended;
            gate.on_end({milliseconds{5}, shed});
        }
    }
    clock.advance(std::chrono::seconds{1});
    gate.on_timer();
    CHECK(gate.waiting() == 0);
    const std::set<std::uint64_t> started{output.started.begin(), output.started.end()};
    CHECK(started.size() == output.started.size());
    CHECK(started.size() + output.refused.size() == offered);
    CHECK_FALSE(output.refused.empty());
}

TEST_CASE("a lower bound on requests in flight holds back waiting ones at once") {
    kernel::manual_clock clock;
    recording_output output;
    admission_controller gate{clock, output,
                              share_table{{{{searcher, std::nullopt}, {50.0, 1.0, 5.0, 20}}}}};
    gate.on_max_in_flight(1.0);
    gate.on_request(searcher, services, {1, clock.now() + milliseconds{100}});
    gate.on_request(searcher, services, {2, clock.now() + milliseconds{100}});
    CHECK(output.started == std::vector<std::uint64_t>{1});
    gate.on_end({milliseconds{5}, false});
    CHECK(output.started == std::vector<std::uint64_t>{1, 2});
}

/// A request that a gate started, with the times of its start and its end.
struct sent_request {
    std::uint64_t id = 0;
    kernel::time_point started;
    kernel::time_point end;
};

struct queue_output {
    const kernel::manual_clock& clock;
    std::deque<sent_request> queue;
    void start(std::uint64_t id) { queue.push_back({id, clock.now()}); }
    void refuse(const refusal& /*refused*/) {}
};

/// A tier with fixed slots behind a gate, in steps of 1 ms; counts the requests that end in time.
class surged_tier {
public:
    static constexpr std::size_t slots = 16;
    static constexpr milliseconds execution{8};

    void step(std::size_t asked) {
        clock_.advance(milliseconds{1});
        for (std::size_t i = 0; i < asked; ++i) {
            arrived_.push_back(clock_.now());
            gate_.on_request(searcher, services, {arrived_.size() - 1, clock_.now() + time_limit});
        }
        while (!executing_.empty() && executing_.front().end <= clock_.now()) {
            const auto ended = executing_.front();
            executing_.pop_front();
            in_time_ += clock_.now() - arrived_[ended.id] <= time_limit ? 1 : 0;
            gate_.on_end({clock_.now() - ended.started, false});
        }
        while (executing_.size() < slots && !output_.queue.empty()) {
            executing_.push_back(output_.queue.front());
            executing_.back().end = clock_.now() + execution;
            output_.queue.pop_front();
        }
    }

    [[nodiscard]] std::size_t in_time() const { return in_time_; }

private:
    static constexpr milliseconds time_limit{100};

    kernel::manual_clock clock_;
    queue_output output_{clock_, {}};
    std::deque<sent_request> executing_;
    std::vector<kernel::time_point> arrived_;
    std::size_t in_time_ = 0;
    admission_controller<kernel::manual_clock, queue_output> gate_{
        clock_, output_, {{{{searcher, std::nullopt}, {200.0, 1.0, 5.0, 2000}}}}};
};

TEST_CASE("in a surge of five times the capacity at least nine tenths of it end in time") {
    constexpr std::size_t simulated_ms = 10'000;
    constexpr std::size_t asked_per_ms = 5 * surged_tier::slots / surged_tier::execution.count();
    surged_tier tier;
    for (std::size_t ms = 0; ms < simulated_ms; ++ms) {
        tier.step(asked_per_ms);
    }
    const double capacity = static_cast<double>(surged_tier::slots * simulated_ms) /
                            static_cast<double>(surged_tier::execution.count());
    CHECK(static_cast<double>(tier.in_time()) >= 0.9 * capacity);
}

}  // namespace
}  // namespace poplarfront::admission
