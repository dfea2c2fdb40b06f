#include "loadgen/load_report.h"

#include <boost/json.hpp>
#include <iomanip>
#include <sstream>

#include "metrics/metrics_json.h"

namespace poplarfront::loadgen {
namespace {

namespace json = boost::json;

double ms(std::chrono::microseconds time) {
    return std::chrono::duration<double, std::milli>(time).count();
}

void write_counts(std::ostream& out, const char* title, const metrics::counter_snapshot& counts) {
    out << title;
    if (counts.values.empty()) {
        out << " none";
    }
    for (const auto& [name, count] : counts.values) {
        out << ' ' << name << '=' << count;
    }
    out << '\n';
}

void write_searchers(std::ostream& out, const char* title,
                     const std::map<std::string, searcher_result>& searchers) {
    for (const auto& [name, it] : searchers) {
        out << title << name << " sent=" << it.sent << " answered=" << it.answered
            << " in time=" << it.in_time << " refused=" << it.refused << " failed=" << it.failed
            << '\n';
    }
}

json::object to_object(const searcher_result& it) {
    return {{"sent", it.sent},
            {"answered", it.answered},
            {"in_time", it.in_time},
            {"refused", it.refused},
            {"failed", it.failed}};
}

json::object to_object(const std::map<std::string, searcher_result>& searchers) {
    json::object object;
    for (const auto& [name, it] : searchers) {
        object[name] = to_object(it);
    }
    return object;
}

}  // namespace

double load_report::coverage() const {
    const auto all = covered_shards + missing_shards;
    return all == 0 ? 1.0 : static_cast<double>(covered_shards) / static_cast<double>(all);
}

double load_report::extra_load() const {
    const auto needed = static_cast<double>(covered_shards + missing_shards);
    if (needed == 0 || backend_queries == 0) {
        return 0.0;
    }
    return (static_cast<double>(backend_queries) - needed) / needed;
}

std::string to_text(const load_report& report) {
    std::ostringstream out;
    out << std::fixed << std::setprecision(2);
    out << "requests  sent=" << report.sent << " answered=" << report.answered
        << " complete=" << report.complete << " late=" << report.late << " in " << report.seconds
        << " s\n";
    out << "latency   p50=" << ms(report.latency.quantile(0.5))
        << " ms p99=" << ms(report.latency.quantile(0.99))
        << " ms p99.9=" << ms(report.latency.quantile(0.999))
        << " ms max=" << ms(report.latency.largest) << " ms\n";
    out << "coverage  " << std::setprecision(4) << 100.0 * report.coverage() << "% of "
        << report.covered_shards + report.missing_shards << " shards\n"
        << std::setprecision(2);
    if (report.backend_queries > 0) {
        out << "load      backend requests=" << report.backend_queries
            << " extra=" << 100.0 * report.extra_load() << "%\n";
    }
    write_counts(out, "refused  ", report.refused_by_type);
    write_counts(out, "errors   ", report.errors);
    write_counts(out, "actions  ", report.action_statuses);
    write_searchers(out, "searcher  ", report.searchers);
    write_searchers(out, "in surge  ", report.searchers_in_surge);
    out << "broken promises: " << report.broken_promises << '\n';
    for (const auto& it : report.broken_examples) {
        out << "  " << it << '\n';
    }
    return out.str();
}

std::string to_json(const load_report& report) {
    return json::serialize(json::object{
        {"seconds", report.seconds},
        {"sent", report.sent},
        {"answered", report.answered},
        {"complete", report.complete},
        {"late", report.late},
        {"latency", json::parse(metrics::encode_latency(report.latency))},
        {"coverage", report.coverage()},
        {"covered_shards", report.covered_shards},
        {"missing_shards", report.missing_shards},
        {"refused_by_type", json::parse(metrics::encode_counters(report.refused_by_type))},
        {"errors", json::parse(metrics::encode_counters(report.errors))},
        {"action_statuses", json::parse(metrics::encode_counters(report.action_statuses))},
        {"searchers", to_object(report.searchers)},
        {"searchers_in_surge", to_object(report.searchers_in_surge)},
        {"backend_queries", report.backend_queries},
        {"extra_load", report.extra_load()},
        {"broken_promises", report.broken_promises},
        {"broken_examples", json::value_from(report.broken_examples)},
    });
}

}  // namespace poplarfront::loadgen
