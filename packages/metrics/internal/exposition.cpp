#include "metrics/exposition.h"

#include <spdlog/fmt/fmt.h>

#include <array>
#include <cmath>

namespace poplarfront::metrics {
namespace {

/// Upper bounds of the exported buckets.
constexpr std::array<std::chrono::milliseconds, 13> bucket_bounds{
    std::chrono::milliseconds{1},    std::chrono::milliseconds{2},
    std::chrono::milliseconds{5},    std::chrono::milliseconds{10},
    std::chrono::milliseconds{20},   std::chrono::milliseconds{50},
    std::chrono::milliseconds{100},  std::chrono::milliseconds{200},
    std::chrono::milliseconds{400},  std::chrono::milliseconds{600},
    std::chrono::milliseconds{1000}, std::chrono::milliseconds{2000},
    std::chrono::milliseconds{5000}};

/// The number of latencies up to `bound`, with the resolution of the recorded bins.
std::uint64_t count_up_to(const latency_snapshot& latency, std::chrono::microseconds bound) {
    const double low = static_cast<double>(min_latency.count());
    const double high = static_cast<double>(max_latency.count());
    const double position = std::log(static_cast<double>(bound.count()) / low) /
                            std::log(high / low) * static_cast<double>(latency_bins);
    // The first count is that of the underflow bin.
    const auto bins = static_cast<std::size_t>(std::lround(position)) + 1;
    std::uint64_t sum = 0;
    for (std::size_t n = 0; n < bins && n < latency.counts.size(); ++n) {
        sum += latency.counts[n];
    }
    return sum;
}

double to_seconds(std::chrono::microseconds time) {
    return std::chrono::duration<double>(time).count();
}

}  // namespace

void exposition::add_header(std::string_view name, std::string_view help, std::string_view type) {
    text_ += fmt::format("# HELP {0} {1}\n# TYPE {0} {2}\n", name, help, type);
}

void exposition::counters(std::string_view name, std::string_view help, std::string_view label,
                          const counter_snapshot& counts) {
    add_header(name, help, "counter");
    for (const auto& [value, n] : counts.values) {
        text_ += fmt::format("{}{{{}=\"{}\"}} {}\n", name, label, value, n);
    }
}

void exposition::counter(std::string_view name, std::string_view help, std::uint64_t value) {
    add_header(name, help, "counter");
    text_ += fmt::format("{} {}\n", name, value);
}

void exposition::gauge(std::string_view name, std::string_view help, std::uint64_t value) {
    add_header(name, help, "gauge");
    text_ += fmt::format("{} {}\n", name, value);
}

void exposition::histogram(std::string_view name, std::string_view help,
                           const latency_snapshot& latency) {
    add_header(name, help, "histogram");
    for (const auto bound : bucket_bounds) {
        text_ += fmt::format("{}_bucket{{le=\"{}\"}} {}\n", name, to_seconds(bound),
                             count_up_to(latency, bound));
    }
    text_ += fmt::format("{0}_bucket{{le=\"+Inf\"}} {1}\n{0}_sum {2}\n{0}_count {1}\n", name,
                         latency.total, to_seconds(latency.sum));
}

}  // namespace poplarfront::metrics
