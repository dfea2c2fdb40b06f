#include "metrics/exposition.h"

#include <catch2/catch.hpp>

#include "metrics/latency_histogram.h"

namespace poplarfront::metrics {
namespace {

bool has_line(const std::string& text, const std::string& line) {
    return ("\n" + text).find("\n" + line + "\n") != std::string::npos;
}

TEST_CASE("the buckets of a histogram are cumulative, and the last one counts all values") {
    latency_histogram histogram;
    histogram.record(std::chrono::milliseconds{3});
    histogram.record(std::chrono::milliseconds{30});
    histogram.record(std::chrono::seconds{30});
    exposition built;
    built.histogram("latency_seconds", "Time.", histogram.snapshot());
    CHECK(has_line(built.text(), "# TYPE latency_seconds histogram"));
    CHECK(has_line(built.text(), "latency_seconds_bucket{le=\"0.002\"} 0"));
    CHECK(has_line(built.text(), "latency_seconds_bucket{le=\"0.005\"} 1"));
    CHECK(has_line(built.text(), "latency_seconds_bucket{le=\"0.05\"} 2"));
    CHECK(has_line(built.text(), "latency_seconds_bucket{le=\"5\"} 2"));
    CHECK(has_line(built.text(), "latency_seconds_bucket{le=\"+Inf\"} 3"));
    CHECK(has_line(built.text(), "latency_seconds_count 3"));
}

TEST_CASE("the names of a counter set become the label values of one metric") {
    counter_set counts;
    counts.add("failed", 2);
    counts.add("gathered");
    exposition built;
    built.counters("answers_total", "Answers.", "kind", counts.snapshot());
    CHECK(has_line(built.text(), "answers_total{kind=\"failed\"} 2"));
    CHECK(has_line(built.text(), "answers_total{kind=\"gathered\"} 1"));
}

}  // namespace
}  // namespace poplarfront::metrics
