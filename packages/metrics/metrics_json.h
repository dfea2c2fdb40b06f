#pragma once

#include <string>

#include "metrics/counter_set.h"
#include "metrics/latency_snapshot.h"

namespace poplarfront::metrics {

/// `{"count", "mean_us", "p50_us", "p99_us", "p999_us", "max_us"}`. Thread-safe.
std::string encode_latency(const latency_snapshot& latency);

/// `{name: count, ...}`. Thread-safe.
std::string encode_counters(const counter_snapshot& counters);

}  // namespace poplarfront::metrics
