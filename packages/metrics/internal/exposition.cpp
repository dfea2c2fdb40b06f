#include "metrics/exposition.h"

#include <spdlog/fmt/fmt.h>

#include <array>
#include <cmath>

namespace poplarfront::metrics {
namespace {

/// Upper edges of the exported buckets.
constexpr std::array<std::chrono::milliseconds, 13> edges{
    std::chrono::milliseconds{1},    std::chrono::milliseconds{2},
    std::chrono::milliseconds{5},    std::chrono::milliseconds{10},
    std::chrono::milliseconds{20},   std::chrono::milliseconds{50},
    std::chrono::milliseconds{100},  std::chrono::milliseconds{200},
    std::chrono::milliseconds{400},  std::chrono::milliseconds{600},
    std::chrono::milliseconds{1000}, std::chrono::milliseconds{2000},
    std::chrono::milliseconds{5000}};

/// How many latencies were at most `edge`, to the resolution of the recorded bins.
std::uint64_t at_most(const latency_snapshot& latency, std::chrono::microseconds edge) {
    const double first = static_cast<double>(min_latency.count());
    const double last = static_cast<double>(max_latency.count());
    const double position = std::log(static_cast<double>(edge.count()) / first) /
                            std::log(last / first) * static_cast<double>(latency_bins);
    // The first count is that of latencies below the range.
    const auto counted = static_cast<std::size_t>(std::lround(position)) + 1;
    std::uint64_t sum = 0;
    for (std::size_t it = 0; it < counted && it < latency.counts.size(); ++it) {
        sum += latency.counts[it];
    }
    return sum;
}

double seconds(std::chrono::microseconds span) {
    return std::chrono::duration<double>(span).count();
}

}  // namespace

void exposition::describe(std::string_view name, std::string_view help, std::string_view type) {
    text_ += fmt::format("# HELP {0} {1}\n# TYPE {0} {2}\n", name, help, type);
}

void exposition::counters(std::string_view name, std::string_view help, std::string_view label,
                          const counter_snapshot& counts) {
    describe(name, help, "counter");
    for (const auto& [value, n] : counts.values) {
        text_ += fmt::format("{}{{{}=\"{}\"}} {}\n", name, label, value, n);
    }
}

void exposition::counter(std::string_view name, std::string_view help, std::uint64_t value) {
    describe(name, help, "counter");
    text_ += fmt::format("{} {}\n", name, value);
}

void exposition::gauge(std::string_view name, std::string_view help, std::uint64_t value) {
    describe(name, help, "gauge");
    text_ += fmt::format("{} {}\n", name, value);
}

void exposition::histogram(std::string_view name, std::string_view help,
                           const latency_snapshot& latency) {
    describe(name, help, "histogram");
    for (const auto edge : edges) {
        text_ +=
            fmt::format("{}_bucket{{le=\"{}\"}} {}\n", name, seconds(edge), at_most(latency, edge));
    }
    text_ += fmt::format("{0}_bucket{{le=\"+Inf\"}} {1}\n{0}_sum {2}\n{0}_count {1}\n", name,
                         latency.total, seconds(latency.sum));
}

}  // namespace poplarfront::metrics
