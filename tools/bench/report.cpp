#include "bench/report.h"

#include <algorithm>
#include <boost/json.hpp>
#include <cstdio>

namespace poplarfront::bench {
namespace {

constexpr double percent = 100;

template <class... Values>
std::string format(const char* pattern, Values... values) {
    constexpr std::size_t longest_line = 256;
    std::string text(longest_line, ' ');
    const auto size = std::snprintf(text.data(), text.size(), pattern, values...);
    text.resize(std::min(longest_line, static_cast<std::size_t>(size)));
    return text;
}

double complete_percent(const run_result& result) {
    const auto answered = result.queries - result.refused;
    return answered == 0
               ? 0
               : percent * static_cast<double>(result.complete) / static_cast<double>(answered);
}

/// The runs of one workload.
class workload_runs {
public:
    workload_runs(const std::vector<measured_run>& runs, std::string workload)
        : runs_(runs), workload_(std::move(workload)) {}

    [[nodiscard]] const measured_run* find(scenario which, const std::string& policy) const {
        const auto it = std::find_if(runs_.begin(), runs_.end(), [&](const auto& run) {
            return run.workload == workload_ && run.which == which && run.policy == policy;
        });
        return it == runs_.end() ? nullptr : &*it;
    }
    [[nodiscard]] target_check check(std::string target, std::string figures, bool met) const {
        return {workload_, std::move(target), std::move(figures), met};
    }

private:
    const std::vector<measured_run>& runs_;
    std::string workload_;
};

void check_latency(const workload_runs& runs, std::vector<target_check>& into) {
    const auto* steady = runs.find(scenario::steady, "direct");
    const auto* slow = runs.find(scenario::straggler, "direct");
    const auto* baseline = runs.find(scenario::straggler, "baseline");
    if (steady == nullptr || slow == nullptr || baseline == nullptr) {
        return;
    }
    constexpr double steady_factor = 1.5;
    constexpr double baseline_factor = 0.5;
    const double p99 = slow->result.p99_ms;
    into.push_back(runs.check("straggler p99 <= 1.5 x steady p99",
                              format("%.1f ms, steady %.1f ms, factor %.2f", p99,
                                     steady->result.p99_ms, p99 / steady->result.p99_ms),
                              p99 <= steady_factor * steady->result.p99_ms));
    into.push_back(runs.check("straggler p99 <= 0.5 x baseline p99",
                              format("%.1f ms, baseline %.1f ms, factor %.2f", p99,
                                     baseline->result.p99_ms, p99 / baseline->result.p99_ms),
                              p99 <= baseline_factor * baseline->result.p99_ms));
}

void check_faults(const workload_runs& runs, std::vector<target_check>& into) {
    constexpr double coverage_target = 0.9999;
    for (const auto which : all_scenarios) {
        const auto* run = runs.find(which, "direct");
        if (run == nullptr) {
            continue;
        }
        const std::string name{to_string(which)};
        const double limit = which == scenario::steady ? 5 : 10;
        into.push_back(runs.check(name + format(" extra load <= %.0f%%", limit),
                                  format("%.2f%%", run->result.extra_percent()),
                                  run->result.extra_percent() <= limit));
        if (which != scenario::surge) {
            into.push_back(runs.check(name + " coverage >= 99.99%",
                                      format("%.4f%%", percent * run->result.coverage()),
                                      run->result.coverage() >= coverage_target));
        }
        into.push_back(runs.check(name + " no broken promise",
                                  format("%zu broken", run->result.broken.size()),
                                  run->result.broken.empty()));
    }
}

void check_surge(const workload_runs& runs, std::vector<target_check>& into) {
    const auto* run = runs.find(scenario::surge, "direct");
    if (run == nullptr) {
        return;
    }
    constexpr double goodput_target = 0.9;
    // A share counts as reached when it rounds to 1.00.
    constexpr double share_target = 0.995;
    const double part = run->result.goodput_per_s / run->capacity_per_s;
    into.push_back(runs.check("surge goodput >= 90% of capacity",
                              format("%.0f/s of %.0f/s, %.1f%%", run->result.goodput_per_s,
                                     run->capacity_per_s, percent * part),
                              part >= goodput_target));
    into.push_back(runs.check("surge, no searcher below its share",
                              format("lowest part %.2f", run->result.lowest_share),
                              run->result.lowest_share >= share_target));
}

boost::json::object to_object(const measured_run& run) {
    const auto& it = run.result;
    boost::json::array broken;
    for (const auto& promise : it.broken) {
        broken.emplace_back(promise);
    }
    return {{"workload", run.workload},
            {"scenario", to_string(run.which)},
            {"policy", run.policy},
            {"p50_ms", it.p50_ms},
            {"p99_ms", it.p99_ms},
            {"p999_ms", it.p999_ms},
            {"queries", it.queries},
            {"refused", it.refused},
            {"coverage", it.coverage()},
            {"complete", it.complete},
            {"extra_percent", it.extra_percent()},
            {"goodput_per_s", it.goodput_per_s},
            {"capacity_per_s", run.capacity_per_s},
            {"lowest_share", it.lowest_share},
            {"broken", broken}};
}

}  // namespace

std::string table_header() {
    return format("%-22s %-12s %-8s %7s %7s %7s %8s %9s %9s %8s %7s %7s %6s\n", "workload",
                  "scenario", "policy", "p50 ms", "p99 ms", "p99.9", "queries", "covered%",
                  "complete%", "refused%", "extra%", "good/s", "broken");
}

std::string to_line(const measured_run& run) {
    const auto& it = run.result;
    const double refused =
        percent * static_cast<double>(it.refused) / static_cast<double>(it.queries);
    return format("%-22s %-12s %-8s %7.1f %7.1f %7.1f %8llu %9.4f %9.4f %8.2f %7.2f %7.0f %6zu\n",
                  run.workload.c_str(), std::string{to_string(run.which)}.c_str(),
                  run.policy.c_str(), it.p50_ms, it.p99_ms, it.p999_ms,
                  static_cast<unsigned long long>(it.queries), percent * it.coverage(),
                  complete_percent(it), refused, it.extra_percent(), it.goodput_per_s,
                  it.broken.size());
}

std::string to_details(const measured_run& run) {
    std::string text;
    for (const auto* counts : {&run.result.missing, &run.result.refusals}) {
        for (const auto& [reason, n] : *counts) {
            text += "  " + reason + ": " + std::to_string(n);
        }
    }
    return text.empty() || run.policy == "baseline" ? "" : "   " + text + "\n";
}

std::vector<target_check> check_targets(const std::vector<measured_run>& runs) {
    std::vector<std::string> names;
    for (const auto& it : runs) {
        if (std::find(names.begin(), names.end(), it.workload) == names.end()) {
            names.push_back(it.workload);
        }
    }
    std::vector<target_check> checks;
    for (const auto& name : names) {
        const workload_runs of_one{runs, name};
        check_latency(of_one, checks);
        check_faults(of_one, checks);
        check_surge(of_one, checks);
    }
    return checks;
}

std::string to_line(const target_check& check) {
    return format("%-6s %-22s %-38s %s\n", check.met ? "met" : "MISSED", check.workload.c_str(),
                  check.target.c_str(), check.figures.c_str());
}

std::string to_json(const std::vector<measured_run>& runs,
                    const std::vector<target_check>& checks) {
    boost::json::array all_runs;
    for (const auto& it : runs) {
        all_runs.emplace_back(to_object(it));
    }
    boost::json::array all_checks;
    for (const auto& it : checks) {
        all_checks.emplace_back(boost::json::object{{"workload", it.workload},
                                                    {"target", it.target},
                                                    {"figures", it.figures},
                                                    {"met", it.met}});
    }
    return boost::json::serialize(
               boost::json::object{{"runs", all_runs}, {"targets", all_checks}}) +
           "\n";
}

}  // namespace poplarfront::bench
