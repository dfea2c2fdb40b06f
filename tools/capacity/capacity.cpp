#include <getopt.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <optional>
#include <string_view>

#include "capacity/measurement.h"
#include "capacity/report.h"

namespace {

using namespace poplarfront::capacity;

constexpr std::string_view usage =
    "usage: capacity [--instances N,N,...] [--servers N,N,...] [--changes N,N,...]\n"
    "                [--seconds N] [--seed N] [--only NAME] [--json FILE] [--quick]\n"
    "Measures the control work of one instance by running the real code without sockets.\n"
    "--changes gives instances replaced a day, --seconds the virtual time of each run.\n"
    "--quick sets few and small sizes; options after it replace them.\n";

// One replacement takes 3 s.
constexpr std::uint64_t min_seconds = 4;

struct command_line {
    capacity_options options{{17, 100, 300, 1000, 3000}, {100, 1600, 16000}, {0, 3353, 33530}, 30};
    std::string only;
    std::string json_file;
};

capacity_options quick_options() {
    return {{17, 100}, {100, 1600, 16000}, {0, 3353}, 6};
}

std::optional<std::vector<std::uint64_t>> numbers(std::string_view text) {
    std::vector<std::uint64_t> list;
    while (true) {
        std::uint64_t n = 0;
        const auto* const last = text.data() + text.size();
        const auto parsed = std::from_chars(text.data(), last, n);
        if (parsed.ec != std::errc{}) {
            return std::nullopt;
        }
        list.push_back(n);
        if (parsed.ptr == last) {
            return list;
        }
        if (*parsed.ptr != ',') {
            return std::nullopt;
        }
        text.remove_prefix(static_cast<std::size_t>(parsed.ptr + 1 - text.data()));
    }
}

bool set_numbers(std::vector<std::uint64_t>& to, std::string_view text, std::uint64_t minimum) {
    auto list = numbers(text);
    const bool valid =
        list && std::all_of(list->begin(), list->end(), [&](auto n) { return n >= minimum; });
    if (valid) {
        to = std::move(*list);
    }
    return valid;
}

bool set_number(std::uint64_t& to, std::string_view text, std::uint64_t minimum) {
    std::vector<std::uint64_t> list;
    const bool valid = set_numbers(list, text, minimum) && list.size() == 1;
    if (valid) {
        to = list.front();
    }
    return valid;
}

// Sizes below 2 have no other instance, or no pair of replicas, to measure.
bool apply(int option, std::string_view value, command_line& into) {
    switch (option) {
        case 'i':
            return set_numbers(into.options.instances, value, 2);
        case 's':
            return set_numbers(into.options.servers, value, 2);
        case 'c':
            return set_numbers(into.options.changes, value, 0);
        case 't':
            return set_number(into.options.seconds, value, min_seconds);
        case 'r':
            return set_number(into.options.seed, value, 0);
        case 'o':
            into.only = value;
            return true;
        case 'q':
            into.options = quick_options();
            return true;
        case 'j':
            into.json_file = value;
            return true;
        default:
            return false;
    }
}

std::optional<command_line> parse(int argc, char** argv) {
    constexpr std::array<option, 9> known{{{"instances", required_argument, nullptr, 'i'},
                                           {"servers", required_argument, nullptr, 's'},
                                           {"changes", required_argument, nullptr, 'c'},
                                           {"seconds", required_argument, nullptr, 't'},
                                           {"seed", required_argument, nullptr, 'r'},
                                           {"only", required_argument, nullptr, 'o'},
                                           {"json", required_argument, nullptr, 'j'},
                                           {"quick", no_argument, nullptr, 'q'},
                                           {nullptr, 0, nullptr, 0}}};
    command_line parsed;
    int found = 0;
    while ((found = getopt_long(argc, argv, "", known.data(), nullptr)) != -1) {
        if (!apply(found, optarg == nullptr ? "" : optarg, parsed)) {
            return std::nullopt;
        }
    }
    return optind == argc ? std::optional{parsed} : std::nullopt;
}

}  // namespace

int main(int argc, char** argv) {
    const auto line = parse(argc, argv);
    if (!line) {
        std::cerr << usage;
        return 2;
    }
    std::vector<measured> all;
    for (const auto& it : poplarfront::kernel::extension_point<measurement>::entries()) {
        if (!line->only.empty() && line->only != it.name) {
            continue;
        }
        measured result{it.name, it.description, it.run(line->options), {}};
        result.fits = fit(result.samples, it.terms);
        std::cout << to_table(result) << std::flush;
        all.push_back(std::move(result));
    }
    if (all.empty()) {
        std::cerr << "no measurement is named \"" << line->only << "\"\n";
        return 2;
    }
    if (!line->json_file.empty()) {
        std::ofstream file{line->json_file};
        file << to_json(all) << std::flush;
        if (!file) {
            std::cerr << "cannot write " << line->json_file << "\n";
            return 1;
        }
    }
    return 0;
}
