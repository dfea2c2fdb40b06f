#pragma once

#include <string>

#include "metrics/counter_set.h"
#include "metrics/latency_snapshot.h"

namespace poplarfront::metrics {

/// A JSON object with the members `count`, `mean_us`, `p50_us`, `p99_us`, `p999_us` and `max_us`.
/// Thread-safe.
std::string encode_latency(const latency_snapshot& latency);

/// A JSON object with the count of each name. Thread-safe.
std::string encode_counters(const counter_snapshot& counters);

}  // namespace poplarfront::metrics
