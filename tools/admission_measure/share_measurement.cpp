#include <array>
#include <cstdio>
#include <vector>

#include "admission/share_scheduler.h"
#include "admission_measure/alternatives.h"
#include "admission_measure/measurements.h"
#include "kernel/clock_and_random_sources.h"

namespace poplarfront::admission_measure {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t searcher_count = 4;
constexpr std::size_t slots = 16;
constexpr int longest_service_ms = 20;
constexpr double rate = 300.0;
constexpr int simulated_ms = 60'000;
constexpr milliseconds time_limit{150};

struct totals {
    double asked = 0;
    double started = 0;
};

/// Searchers 1 to 3 ask in bursts for 90% of their rate on average, searcher 0 as told.
template <admission::queueing_policy Policy>
class share_simulation {
public:
    share_simulation(std::uint64_t seed, double burst, double asked_by_first)
        : random_(seed), asked_by_first_(asked_by_first), scheduler_(clock_, make_table(burst)) {}

    std::array<totals, searcher_count> run() {
        for (int ms = 0; ms < simulated_ms; ++ms) {
            clock_.advance(milliseconds{1});
            scheduler_.expire();
            for (std::size_t i = 0; i < searcher_count; ++i) {
                ask(i, ms);
            }
            std::erase_if(busy_until_, [&](auto end) { return end <= clock_.now(); });
            while (busy_until_.size() < slots && start_one()) {
            }
        }
        return totals_;
    }

private:
    static model::searcher_id searcher(std::size_t i) {
        return model::searcher_id::trusted("s" + std::to_string(i));
    }

    static admission::share_table make_table(double burst) {
        admission::share_table table;
        for (std::size_t i = 0; i < searcher_count; ++i) {
            table.shares[{searcher(i), std::nullopt}] = {rate, 1.0, burst, 256};
        }
        return table;
    }

    double asked_per_ms(std::size_t i, int ms) {
        if (i == 0) {
            return asked_by_first_ / 1000.0;
        }
        constexpr int period_ms = 100;
        constexpr double mean_part = 0.9;
        if (ms % period_ms == 0) {
            burst_.at(i) = 2.0 * kernel::uniform_unit(random_) * 2.0;
        }
        const bool on = ms % period_ms < period_ms / 2;
        return on ? rate * mean_part * burst_.at(i) / 1000.0 : 0.0;
    }

    void ask(std::size_t i, int ms) {
        auto& owed = owed_.at(i);
        for (owed += asked_per_ms(i, ms); owed >= 1.0; owed -= 1.0) {
            asked_by_.push_back(i);
            ++totals_.at(i).asked;
            const admission::admission_request request{asked_by_.size() - 1,
                                                       clock_.now() + time_limit};
            scheduler_.offer(searcher(i), {}, request);
        }
    }

    bool start_one() {
        const auto started = scheduler_.next();
        if (started) {
            ++totals_.at(asked_by_[started->id]).started;
            const auto service = 1 + kernel::uniform_below(random_, longest_service_ms);
            busy_until_.push_back(clock_.now() + milliseconds{service});
        }
        return started.has_value();
    }

    kernel::seeded_random_source random_;
    kernel::manual_clock clock_;
    double asked_by_first_;
    admission::share_scheduler<kernel::manual_clock, Policy> scheduler_;
    std::array<totals, searcher_count> totals_{};
    std::array<double, searcher_count> owed_{};
    std::array<double, searcher_count> burst_{};
    std::vector<kernel::time_point> busy_until_;
    std::vector<std::size_t> asked_by_;
};

template <admission::queueing_policy Policy>
std::string row(const char* name, std::uint64_t seed, double burst, double asked_by_first) {
    const auto results = share_simulation<Policy>{seed, burst, asked_by_first}.run();
    constexpr double capacity = slots * 1000.0 / ((1 + longest_service_ms) / 2.0);
    totals others;
    double started = results[0].started;
    for (std::size_t i = 1; i < searcher_count; ++i) {
        others.asked += results.at(i).asked;
        others.started += results.at(i).started;
        started += results.at(i).started;
    }
    std::array<char, 160> line{};
    std::snprintf(line.data(), line.size(), "%-18s %6.0f %10.0f %22.2f%% %16.0f/s %18.1f%%\n", name,
                  burst, asked_by_first, 100.0 * others.started / others.asked,
                  results[0].started * 1000.0 / simulated_ms,
                  100.0 * started * 1000.0 / simulated_ms / capacity);
    return line.data();
}

}  // namespace

std::string measure_shares(std::uint64_t seed) {
    std::string text =
        "turn policy         burst  s0 asks/s  others: started in time      s0 started  use of "
        "capacity\n";
    constexpr std::array bursts{2.0, 30.0};
    constexpr std::array asked_by_first{300.0, 900.0, 7500.0};
    for (const double burst : bursts) {
        for (const double asked : asked_by_first) {
            text += row<refuse_when_empty>("refuse_when_empty", seed, burst, asked);
            text += row<admission::queue_on_deficit>("reserve_turn", seed, burst, asked);
        }
    }
    return text;
}

}  // namespace poplarfront::admission_measure
