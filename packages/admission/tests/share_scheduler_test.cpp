#include "admission/share_scheduler.h"

#include <catch2/catch.hpp>

#include "kernel/clock_and_random_sources.h"

namespace poplarfront::admission {
namespace {

using std::chrono::milliseconds;

using scheduler = share_scheduler<kernel::manual_clock>;

const std::vector<model::service_id> services{model::service_id::trusted("loans")};

model::searcher_id searcher(std::size_t i) {
    return model::searcher_id::trusted("s" + std::to_string(i));
}

share_key key(std::size_t i) {
    return {searcher(i), std::nullopt};
}

admission_request due_in(const kernel::manual_clock& clock, std::uint64_t id,
                         milliseconds time_left) {
    return {id, clock.now() + time_left};
}

/// One searcher of the simulation. It sends requests at random intervals, on average at no less
/// than its guaranteed rate.
struct simulated_searcher {
    double rate = 0;
    double request_rate = 0;
    /// Fraction of a request that is carried over to the next step.
    double due_requests = 0;
    std::size_t started = 0;
};

/// A surge of searcher 0 beside 2 to 5 others with random shares, in steps of 1 ms.
class surge_simulation {
public:
    surge_simulation(std::uint64_t seed, bool enforce_rates)
        : random_(seed), searchers_(3 + kernel::uniform_below(random_, 4)) {
        scheduler_.emplace(clock_, make_table(),
                           share_scheduler_options{milliseconds{1}, enforce_rates});
    }

    /// Counts, for all searchers, the windows of 1 s in which a searcher got less than its share.
    std::size_t windows_below_share() {
        constexpr int windows = 12;
        std::size_t found = 0;
        for (int window = 0; window < windows; ++window) {
            for (int ms = 0; ms < 1000; ++ms) {
                step();
            }
            // The queues fill during the first window.
            found += window == 0 ? 0 : count_below_share();
            for (auto& it : searchers_) {
                it.started = 0;
            }
        }
        return found;
    }

private:
    static constexpr std::size_t slots = 16;
    static constexpr int max_execution_ms = 20;
    static constexpr double capacity = slots * 1000.0 / ((1 + max_execution_ms) / 2.0);

    share_table make_table() {
        constexpr double guaranteed_fraction = 0.85;
        double sum = 0;
        for (auto& it : searchers_) {
            it.rate = 0.2 + kernel::uniform_unit(random_);
            sum += it.rate;
        }
        share_table table;
        for (std::size_t i = 0; i < searchers_.size(); ++i) {
            auto& it = searchers_[i];
            it.rate *= guaranteed_fraction * capacity / sum;
            it.request_rate = it.rate * (1.0 + kernel::uniform_unit(random_) / 2);
            const double weight = i == 0 ? 10.0 : 0.1 + kernel::uniform_unit(random_);
            table.shares[key(i)] = {it.rate, weight, 2.0, 256};
        }
        searchers_[0].request_rate = 5.0 * capacity;
        return table;
    }

    void step() {
        clock_.advance(milliseconds{1});
        scheduler_->expire();
        for (std::size_t i = 0; i < searchers_.size(); ++i) {
            send_requests(i);
        }
        std::erase_if(busy_until_, [&](auto end) { return end <= clock_.now(); });
        while (busy_until_.size() < slots && start_one()) {
        }
    }

    void send_requests(std::size_t i) {
        auto& it = searchers_[i];
        it.due_requests += it.request_rate / 1000.0 * 2.0 * kernel::uniform_unit(random_);
        for (; it.due_requests >= 1.0; it.due_requests -= 1.0) {
            senders_.push_back(i);
            const auto request = due_in(clock_, senders_.size() - 1, milliseconds{200});
            scheduler_->offer(searcher(i), services, request);
        }
    }

    bool start_one() {
        const auto started = scheduler_->next();
        if (started) {
            ++searchers_[senders_[started->id]].started;
            const auto execution_ms = 1 + kernel::uniform_below(random_, max_execution_ms);
            busy_until_.push_back(clock_.now() + milliseconds{execution_ms});
        }
        return started.has_value();
    }

    [[nodiscard]] std::size_t count_below_share() const {
        // The slack covers random arrivals and the requests that are in flight when a window ends.
        return static_cast<std::size_t>(
            std::count_if(searchers_.begin(), searchers_.end(), [](const auto& it) {
                constexpr double slack = 0.05;
                constexpr double slack_requests = 2.0;
                const double guaranteed = it.rate * (1.0 - slack) - slack_requests;
                return static_cast<double>(it.started) < guaranteed;
            }));
    }

    kernel::seeded_random_source random_;
    kernel::manual_clock clock_;
    std::vector<simulated_searcher> searchers_;
    std::optional<scheduler> scheduler_;
    std::vector<kernel::time_point> busy_until_;
    std::vector<std::size_t> senders_;
};

TEST_CASE("a searcher gets its share during a surge of another searcher") {
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        CAPTURE(seed);
        CHECK(surge_simulation(seed, true).windows_below_share() == 0);
    }
}

TEST_CASE("the share check detects violations when rates are not enforced") {
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        CAPTURE(seed);
        CHECK(surge_simulation(seed, false).windows_below_share() > 0);
    }
}

TEST_CASE("a searcher may use more than its share while others leave capacity unused") {
    kernel::manual_clock clock;
    scheduler tested{clock, {{{key(0), {1.0, 1.0, 1.0, 64}}, {key(1), {100.0, 1.0, 1.0, 64}}}}};
    for (std::uint64_t id = 0; id < 50; ++id) {
        CHECK_FALSE(tested.offer(searcher(0), services, due_in(clock, id, milliseconds{50})));
    }
    for (std::uint64_t id = 0; id < 50; ++id) {
        REQUIRE(tested.next());
    }
    CHECK_FALSE(tested.next());
}

TEST_CASE("capacity beyond the guaranteed rates is shared by weight") {
    kernel::manual_clock clock;
    scheduler tested{clock, {{{key(0), {0.0, 3.0, 1.0, 500}}, {key(1), {0.0, 1.0, 1.0, 500}}}}};
    for (std::uint64_t id = 0; id < 400; ++id) {
        tested.offer(searcher(id % 2), services, due_in(clock, id, milliseconds{50}));
    }
    std::size_t started_of_first = 0;
    for (int i = 0; i < 200; ++i) {
        started_of_first += tested.next()->id % 2 == 0 ? 1 : 0;
    }
    CHECK(started_of_first >= 149);
    CHECK(started_of_first <= 151);
}

TEST_CASE("a request is refused on arrival if time, a share or space in the queue is lacking") {
    kernel::manual_clock clock;
    scheduler tested{clock, {{{key(0), {0.0, 1.0, 0.0, 4}}, {key(1), {10.0, 1.0, 1.0, 4}}}}};
    const auto offer = [&](std::size_t searcher_number, std::uint64_t id, milliseconds time_left) {
        return tested.offer(searcher(searcher_number), services, due_in(clock, id, time_left));
    };
    CHECK(offer(0, 1, milliseconds{0}) == refusal{1, refusal_reason::no_time});
    CHECK(offer(7, 2, milliseconds{9}) == refusal{2, refusal_reason::no_share});
    CHECK_FALSE(offer(0, 3, milliseconds{5000}));
    CHECK_FALSE(offer(0, 4, milliseconds{5000}));
    clock.advance(milliseconds{500});
    CHECK(tested.next()->id == 3);
    // At the observed rate of one start in 500 ms, the request would not start within 10 ms.
    CHECK(offer(0, 5, milliseconds{10}) == refusal{5, refusal_reason::no_time});
    CHECK_FALSE(offer(1, 6, milliseconds{10}));
    for (std::uint64_t id = 7; id < 10; ++id) {
        CHECK_FALSE(offer(0, id, milliseconds{5000}));
    }
    CHECK(offer(0, 10, milliseconds{5000}) == refusal{10, refusal_reason::queue_full});
}

TEST_CASE("requests that expire or lose their share are refused once and never started") {
    kernel::manual_clock clock;
    scheduler tested{clock, {{{key(0), {10.0}}, {key(1), {10.0}}}}};
    tested.offer(searcher(0), services, due_in(clock, 1, milliseconds{20}));
    tested.offer(searcher(0), services, due_in(clock, 2, milliseconds{200}));
    tested.offer(searcher(1), services, due_in(clock, 3, milliseconds{200}));
    CHECK(tested.next_timer() == clock.now() + milliseconds{19});
    clock.set(tested.next_timer());
    CHECK(tested.expire() == std::vector<refusal>{{1, refusal_reason::no_time}});
    CHECK(tested.replace({{{key(0), {10.0}}}}) ==
          std::vector<refusal>{{3, refusal_reason::no_share}});
    CHECK(tested.next()->id == 2);
    CHECK_FALSE(tested.next());
    CHECK(tested.waiting() == 0);
}

TEST_CASE("the most specific share applies and is divided among the instances") {
    const auto& loans = services.front();
    const auto history = model::service_id::trusted("history");
    const share_table table{{{{}, {1.0}}, {key(0), {30.0, 1.0, 12.0}}, {{searcher(0), loans}, {}}}};
    const std::vector both{loans, history};
    CHECK(table.find(searcher(0), services) == share_key{searcher(0), loans});
    CHECK(table.find(searcher(0), both) == key(0));
    CHECK(table.find(searcher(1), both) == share_key{});
    CHECK(table.divided(15).shares.at(key(0)) == share{2.0, 1.0, 1.0});
}

}  // namespace
}  // namespace poplarfront::admission
