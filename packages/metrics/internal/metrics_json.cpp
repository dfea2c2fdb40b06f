#include "metrics/metrics_json.h"

#include <boost/json.hpp>

namespace poplarfront::metrics {

std::string encode_latency(const latency_snapshot& latency) {
    return boost::json::serialize(boost::json::object{
        {"count", latency.total},
        {"mean_us", latency.mean().count()},
        {"p50_us", latency.quantile(0.5).count()},
        {"p99_us", latency.quantile(0.99).count()},
        {"p999_us", latency.quantile(0.999).count()},
        {"max_us", latency.largest.count()},
    });
}

std::string encode_counters(const counter_snapshot& counters) {
    boost::json::object object;
    for (const auto& [name, count] : counters.values) {
        object[name] = count;
    }
    return boost::json::serialize(object);
}

}  // namespace poplarfront::metrics
