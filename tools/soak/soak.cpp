#include <getopt.h>

#include <array>
#include <atomic>
#include <chrono>
#include <cstdlib>
#include <iostream>
#include <map>
#include <mutex>
#include <optional>
#include <thread>

#include "simulation.h"

namespace {

using namespace poplarfront::routing;

constexpr const char* usage =
    "usage: soak [--requests N] [--seed S] [--threads N]\n"
    "Runs random searches in virtual time, with faults alone and in pairs, and reports broken\n"
    "promises. Exits with 1 if there is one.\n";

constexpr std::array faults{simulated_fault::slow_server,     simulated_fault::draining_server,
                            simulated_fault::crashed_server,  simulated_fault::repartition,
                            simulated_fault::shedding,        simulated_fault::lost_results,
                            simulated_fault::frozen_instance, simulated_fault::lost_instance,
                            simulated_fault::crashing_query};

struct command_line {
    std::uint64_t requests = 1'000'000;
    std::uint64_t seed = 1;
    std::uint64_t threads = 2;
};

struct totals {
    std::uint64_t runs = 0;
    std::uint64_t requests = 0;
    std::uint64_t complete = 0;
    std::uint64_t shards = 0;
    std::uint64_t covered = 0;
    std::uint64_t primaries = 0;
    std::uint64_t extra = 0;
    /// Seeds by broken promise.
    std::map<std::string, std::vector<std::uint64_t>> broken;
};

std::optional<command_line> parse(int argc, char** argv) {
    constexpr std::array<option, 4> known{{{"requests", required_argument, nullptr, 'n'},
                                           {"seed", required_argument, nullptr, 's'},
                                           {"threads", required_argument, nullptr, 't'},
                                           {nullptr, 0, nullptr, 0}}};
    command_line parsed;
    int found = 0;
    while ((found = getopt_long(argc, argv, "", known.data(), nullptr)) != -1) {
        if (found == '?') {
            return std::nullopt;
        }
        auto& to = found == 'n' ? parsed.requests : found == 's' ? parsed.seed : parsed.threads;
        to = std::strtoull(optarg, nullptr, 10);
    }
    return optind == argc && parsed.threads > 0 ? std::optional{parsed} : std::nullopt;
}

/// Each fault alone, then each pair.
std::vector<std::set<simulated_fault>> combinations() {
    std::vector<std::set<simulated_fault>> all;
    for (const auto first : faults) {
        all.push_back({first});
    }
    for (const auto first : faults) {
        for (const auto second : faults) {
            if (first < second) {
                all.push_back({first, second});
            }
        }
    }
    return all;
}

void add(totals& to, std::uint64_t seed, const simulation_report& report) {
    ++to.runs;
    to.requests += report.latencies.size();
    to.complete += report.complete;
    to.shards += report.shards;
    to.covered += report.covered;
    to.primaries += report.primaries;
    to.extra += report.extra;
    for (const auto& it : report.violations) {
        to.broken[it].push_back(seed);
    }
}

/// The faults of a run follow from its seed, so that a seed alone repeats it.
totals run(const command_line& line) {
    const auto all = combinations();
    totals sum;
    std::mutex mutex;
    std::atomic<std::uint64_t> next{line.seed};
    std::atomic<bool> enough{line.requests == 0};
    const auto work = [&] {
        while (!enough) {
            const auto seed = next++;
            simulation_options options;
            options.seed = seed;
            options.only = all[seed % all.size()];
            const auto report = simulation(options).run();
            const std::lock_guard lock{mutex};
            add(sum, seed, report);
            enough = sum.requests >= line.requests;
        }
    };
    std::vector<std::thread> threads;
    for (std::uint64_t it = 0; it < line.threads; ++it) {
        threads.emplace_back(work);
    }
    for (auto& it : threads) {
        it.join();
    }
    return sum;
}

}  // namespace

int main(int argc, char** argv) {
    const auto line = parse(argc, argv);
    if (!line) {
        std::cerr << usage;
        return 2;
    }
    const auto start = std::chrono::steady_clock::now();
    const auto sum = run(*line);
    const std::chrono::duration<double> elapsed = std::chrono::steady_clock::now() - start;
    std::cout << "requests " << sum.requests << ", runs " << sum.runs << ", first seed "
              << line->seed << ", " << elapsed.count() << " s\n"
              << "complete " << sum.complete << ", covered " << sum.covered << " of " << sum.shards
              << " shards, extra " << sum.extra << " of " << sum.primaries << " primaries\n"
              << "broken promises " << sum.broken.size() << "\n";
    for (const auto& [promise, seeds] : sum.broken) {
        std::cout << "  " << promise << ": " << seeds.size() << " runs, seed " << seeds.front()
                  << " --requests 1\n";
    }
    return sum.broken.empty() ? 0 : 1;
}
