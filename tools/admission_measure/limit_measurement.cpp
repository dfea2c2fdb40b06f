#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <deque>
#include <vector>

#include "admission_measure/alternatives.h"
#include "admission_measure/measurements.h"
#include "kernel/clock_and_random_sources.h"

namespace poplarfront::admission_measure {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t full_slots = 32;
constexpr std::size_t reduced_slots = 8;
constexpr std::size_t tier_queue = 128;
constexpr microseconds step{100};
constexpr seconds reduced_from{20};
constexpr seconds reduced_until{40};
constexpr seconds simulated{60};
constexpr milliseconds time_limit{50};
constexpr milliseconds longest_wait{25};
constexpr double mean_service_ms = 5.0;

struct limit_totals {
    std::uint64_t in_time = 0;
    std::uint64_t late = 0;
    std::uint64_t shed = 0;
    std::vector<double> tier_latency_ms;
    double servable = 0;
};

/// Poisson arrivals wait in a queue until the limit lets them into a tier with slots and a bounded
/// queue of its own.
template <admission::limit_policy Policy>
class limit_simulation {
public:
    limit_simulation(std::uint64_t seed, double load) : random_(seed), load_(load) {}

    limit_totals run() {
        const auto begin = clock_.now();
        for (; clock_.now() - begin < simulated; clock_.advance(step)) {
            const auto elapsed = clock_.now() - begin;
            const bool reduced = elapsed >= reduced_from && elapsed < reduced_until;
            slots_ = reduced ? reduced_slots : full_slots;
            totals_.servable += std::min(load_ * full_slots, static_cast<double>(slots_)) *
                                step.count() / 1000.0 / mean_service_ms;
            arrive();
            finish();
            admit();
            serve();
        }
        return totals_;
    }

private:
    struct request {
        kernel::time_point arrived;
        kernel::time_point sent;
        kernel::time_point done;
    };

    void arrive() {
        const double per_step = load_ * full_slots / mean_service_ms * step.count() / 1000.0;
        // A binomial draw of ten trials stands for the Poisson number of arrivals in a step.
        constexpr int trials = 10;
        for (int i = 0; i < trials; ++i) {
            if (kernel::uniform_unit(random_) < per_step / trials) {
                waiting_.push_back({clock_.now()});
            }
        }
        // As the gate does, drop what would not finish in time.
        while (!waiting_.empty() && clock_.now() - waiting_.front().arrived > longest_wait) {
            waiting_.pop_front();
        }
    }

    void finish() {
        for (const auto& it : serving_) {
            if (it.done <= clock_.now()) {
                end(it);
            }
        }
        std::erase_if(serving_, [&](const auto& it) { return it.done <= clock_.now(); });
    }

    void end(const request& it) {
        const auto latency = it.done - it.sent;
        limit_.on_end({latency, false});
        totals_.tier_latency_ms.push_back(
            std::chrono::duration<double, std::milli>(latency).count());
        ++(it.done - it.arrived <= time_limit ? totals_.in_time : totals_.late);
    }

    void admit() {
        while (!waiting_.empty() && limit_.has_room()) {
            auto next = waiting_.front();
            waiting_.pop_front();
            next.sent = clock_.now();
            limit_.on_start();
            if (tier_.size() >= tier_queue) {
                ++totals_.shed;
                limit_.on_end({step, true});
                return;
            }
            tier_.push_back(next);
        }
    }

    void serve() {
        while (!tier_.empty() && serving_.size() < slots_) {
            auto next = tier_.front();
            tier_.pop_front();
            const double ms = -mean_service_ms * std::log(1.0 - kernel::uniform_unit(random_));
            next.done = clock_.now() + microseconds{std::llround(ms * 1000.0)};
            serving_.push_back(next);
        }
    }

    kernel::seeded_random_source random_;
    double load_;
    kernel::manual_clock clock_;
    admission::concurrency_limit<Policy> limit_;
    std::size_t slots_ = full_slots;
    std::deque<request> waiting_;
    std::deque<request> tier_;
    std::vector<request> serving_;
    limit_totals totals_;
};

template <admission::limit_policy Policy>
std::string row(const char* name, std::uint64_t seed, double load) {
    auto totals = limit_simulation<Policy>{seed, load}.run();
    auto& latency = totals.tier_latency_ms;
    std::sort(latency.begin(), latency.end());
    constexpr double p99 = 0.99;
    const auto rank = static_cast<std::size_t>(p99 * static_cast<double>(latency.size()));
    std::array<char, 160> line{};
    std::snprintf(line.data(), line.size(), "%-15s %5.1f %13.1f%% %8llu %8llu %14.1f ms\n", name,
                  load, 100.0 * static_cast<double>(totals.in_time) / totals.servable,
                  static_cast<unsigned long long>(totals.late),
                  static_cast<unsigned long long>(totals.shed), latency.at(rank));
    return line.data();
}

}  // namespace

std::string measure_limits(std::uint64_t seed) {
    std::string text =
        "limit policy     load  goodput/servable  late     shed   tier latency p99\n";
    constexpr std::array loads{0.7, 1.2, 5.0};
    for (const double load : loads) {
        text += row<admission::aimd_limit>("aimd_limit", seed, load);
        text += row<gradient_limit>("gradient_limit", seed, load);
    }
    return text;
}

}  // namespace poplarfront::admission_measure
