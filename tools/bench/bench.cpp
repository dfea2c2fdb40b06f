#include <getopt.h>

#include <array>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <optional>

#include "bench/report.h"

namespace {

using namespace poplarfront::bench;

constexpr const char* usage =
    "usage: bench [--quick] [--seconds N] [--seed N] [--only WORKLOAD] [--json FILE]\n"
    "Measures the decision code and a baseline policy in virtual time. --seconds is the virtual\n"
    "time of each run; --quick shortens it. Exits with 1 if the decision code broke a promise.\n";

constexpr double default_seconds = 40;
constexpr double quick_seconds = 8;

struct command_line {
    double seconds = default_seconds;
    std::uint64_t seed = 1;
    std::string only;
    std::string json_file;
};

std::optional<command_line> parse(int argc, char** argv) {
    constexpr std::array<option, 6> known{{{"quick", no_argument, nullptr, 'q'},
                                           {"seconds", required_argument, nullptr, 't'},
                                           {"seed", required_argument, nullptr, 'r'},
                                           {"only", required_argument, nullptr, 'o'},
                                           {"json", required_argument, nullptr, 'j'},
                                           {nullptr, 0, nullptr, 0}}};
    command_line parsed;
    int found = 0;
    while ((found = getopt_long(argc, argv, "", known.data(), nullptr)) != -1) {
        if (found == 'q') {
            parsed.seconds = quick_seconds;
        } else if (found == 't') {
            parsed.seconds = std::strtod(optarg, nullptr);
        } else if (found == 'r') {
            parsed.seed = std::strtoull(optarg, nullptr, 10);
        } else if (found == 'o') {
            parsed.only = optarg;
        } else if (found == 'j') {
            parsed.json_file = optarg;
        } else {
            return std::nullopt;
        }
    }
    return optind == argc && parsed.seconds > 0 ? std::optional{parsed} : std::nullopt;
}

class recorder {
public:
    void add(const run_options& options, const char* policy, run_result result) {
        runs_.push_back({options.work.name, options.which, policy, capacity_per_s(options.work),
                         std::move(result)});
        std::cout << to_line(runs_.back()) << to_details(runs_.back()) << std::flush;
    }
    [[nodiscard]] const std::vector<measured_run>& runs() const { return runs_; }

private:
    std::vector<measured_run> runs_;
};

void measure(const command_line& line, const workload& work, recorder& into) {
    using poplarfront::membership::owner_mode;
    for (const auto which : all_scenarios) {
        run_options options{work, which, owner_mode::direct, line.seed, line.seconds};
        into.add(options, "baseline", run_baseline(options));
        into.add(options, "direct", run_deployed(options));
        if (which == scenario::steady || which == scenario::straggler) {
            options.mode = owner_mode::owned;
            into.add(options, "owned", run_deployed(options));
        }
    }
}

}  // namespace

int main(int argc, char** argv) {
    const auto line = parse(argc, argv);
    if (!line) {
        std::cerr << usage;
        return 2;
    }
    recorder recorded;
    std::cout << table_header();
    for (const auto& it : workloads()) {
        if (line->only.empty() || line->only == it.name) {
            measure(*line, it, recorded);
        }
    }
    if (recorded.runs().empty()) {
        std::cerr << "no workload is named \"" << line->only << "\"\n";
        return 2;
    }
    const auto checks = check_targets(recorded.runs());
    std::cout << "\nTargets of section 2.4\n";
    for (const auto& it : checks) {
        std::cout << to_line(it);
    }
    if (!line->json_file.empty()) {
        std::ofstream file{line->json_file};
        file << to_json(recorded.runs(), checks) << std::flush;
        if (!file) {
            std::cerr << "cannot write " << line->json_file << "\n";
            return 1;
        }
    }
    bool broken = false;
    for (const auto& it : recorded.runs()) {
        for (const auto& promise : it.result.broken) {
            std::cerr << "broken: " << it.workload << ", " << to_string(it.which) << ", "
                      << it.policy << ": " << promise << "\n";
            broken = broken || it.policy != "baseline";
        }
    }
    return broken ? 1 : 0;
}
