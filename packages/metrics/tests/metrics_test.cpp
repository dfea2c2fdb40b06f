#include <algorithm>
#include <catch2/catch.hpp>
#include <cmath>

#include "kernel/clock_and_random_sources.h"
#include "metrics/counter_set.h"
#include "metrics/latency_histogram.h"
#include "metrics/metrics_json.h"

namespace poplarfront::metrics {
namespace {

using std::chrono::microseconds;
using std::chrono::seconds;

TEST_CASE("quantile estimates are off by at most one bin") {
    kernel::seeded_random_source random{7};
    latency_histogram histogram;
    std::vector<std::int64_t> exact;
    constexpr int samples = 20'000;
    for (int i = 0; i < samples; ++i) {
        const microseconds value{
            std::llround(500.0 * std::exp(7.0 * kernel::uniform_unit(random)))};
        histogram.record(value);
        exact.push_back(value.count());
    }
    std::sort(exact.begin(), exact.end());
    const auto snapshot = histogram.snapshot();
    for (const double q : {0.01, 0.5, 0.9, 0.99, 0.999}) {
        const auto expected = static_cast<double>(exact[static_cast<std::size_t>(q * samples)]);
        CHECK(static_cast<double>(snapshot.quantile(q).count()) == Approx(expected).epsilon(0.054));
    }
    CHECK(snapshot.quantile(1.0).count() == exact.back());
}

TEST_CASE("durations outside the range are counted and do not distort the largest value") {
    latency_histogram histogram;
    CHECK(histogram.snapshot().quantile(0.5) == microseconds{0});
    histogram.record(microseconds{-3});
    histogram.record(microseconds{5});
    histogram.record(seconds{90});
    const auto snapshot = histogram.snapshot();
    CHECK(snapshot.total == 3);
    CHECK(snapshot.quantile(0.1) <= min_latency);
    CHECK(snapshot.quantile(0.99) == seconds{90});
    histogram.clear();
    CHECK(histogram.snapshot() == latency_snapshot{});
}

TEST_CASE("merged snapshots equal one histogram of all values") {
    latency_histogram a;
    latency_histogram b;
    latency_histogram both;
    for (int i = 1; i < 1000; ++i) {
        const microseconds value{i * 137};
        (i % 3 == 0 ? a : b).record(value);
        both.record(value);
    }
    CHECK(merged(a.snapshot(), b.snapshot()) == both.snapshot());
    CHECK(merged(latency_snapshot{}, both.snapshot()) == both.snapshot());
}

TEST_CASE("counters merge by name and are encoded for the state dump") {
    counter_set a;
    counter_set b;
    a.add("shed");
    a.add("shed", 2);
    b.add("shed");
    b.add("hedges");
    const auto both = merged(a.snapshot(), b.snapshot());
    CHECK(both.value("shed") == 4);
    CHECK(both.value("absent") == 0);
    CHECK(encode_counters(both) == R"({"hedges":1,"shed":4})");
    latency_histogram histogram;
    histogram.record(microseconds{250});
    CHECK(encode_latency(histogram.snapshot()).find(R"("count":1,"mean_us":250)") !=
          std::string::npos);
}

}  // namespace
}  // namespace poplarfront::metrics
