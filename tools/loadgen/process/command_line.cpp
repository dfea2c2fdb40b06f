#include "command_line.h"

#include <getopt.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <iostream>
#include <string_view>

namespace poplarfront::loadgen {
namespace {

constexpr int usage_exit_code = 2;

constexpr const char* usage =
    "Usage: loadgen --instances IP:PORT,... (--services NAME,... | --group NAME) [options]\n"
    "  --searchers NAME=WEIGHT,...  searchers and their parts of the load (acme=1)\n"
    "  --rate X                     requests a second (100)\n"
    "  --duration-s X               length of the run (10)\n"
    "  --max-requests N             end of the run by count (1000000)\n"
    "  --deadline-ms N              deadline of each request (500)\n"
    "  --surge NAME:FACTOR:FROM_S:SECONDS  multiplies the load of a searcher for a while\n"
    "  --query TEXT                 sends this query only\n"
    "  --key-fraction X             part of the queries that ask for one key (0.5)\n"
    "  --keys N                     number of keys (1000)\n"
    "  --action-fraction X          part of the requests that are actions (0)\n"
    "  --action-targets SERVICE:SHARD,...  shards that actions go to\n"
    "  --action-resends N           resends of actions without a known outcome (0)\n"
    "  --max-in-flight N            requests under way at once (20000)\n"
    "  --connections N              connections to each instance (256)\n"
    "  --backends IP:PORT,...       backend server stand-ins whose counters are read\n"
    "  --seed N                     seed of the load (1)\n"
    "  --json FILE                  writes the report as JSON\n"
    "  --help                       this text\n"
    "Exit code 3: a promise was broken.\n";

std::vector<std::string> split(std::string_view text, char separator) {
    std::vector<std::string> parts;
    while (!text.empty()) {
        const auto end = std::min(text.find(separator), text.size());
        parts.emplace_back(text.substr(0, end));
        text.remove_prefix(std::min(end + 1, text.size()));
    }
    return parts;
}

template <class Number>
bool parse(std::string_view text, Number& number) {
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), number);
    return parsed.ec == std::errc{} && parsed.ptr == text.data() + text.size() && number >= 0;
}

bool parse_fraction(std::string_view text, double& fraction) {
    return parse(text, fraction) && fraction <= 1.0;
}

bool parse_seconds(std::string_view text, std::chrono::milliseconds& time) {
    double seconds = 0;
    constexpr double longest = 86'400;
    if (!parse(text, seconds) || seconds > longest) {
        return false;
    }
    time = std::chrono::milliseconds{static_cast<std::int64_t>(seconds * 1000.0)};
    return true;
}

bool parse_searchers(const std::string& text, std::vector<searcher_load>& searchers) {
    searchers.clear();
    for (const auto& it : split(text, ',')) {
        const auto parts = split(it, '=');
        double weight = 1.0;
        if (parts.empty() || parts.size() > 2 || !model::is_identifier(parts[0]) ||
            (parts.size() == 2 && (!parse(parts[1], weight) || weight <= 0))) {
            return false;
        }
        searchers.push_back({model::searcher_id::trusted(parts[0]), weight});
    }
    return !searchers.empty();
}

bool parse_surge(const std::string& text, std::optional<surge>& extra) {
    const auto parts = split(text, ':');
    surge parsed;
    if (parts.size() != 4 || !model::is_identifier(parts[0]) || !parse(parts[1], parsed.factor) ||
        !parse_seconds(parts[2], parsed.from) || !parse_seconds(parts[3], parsed.length)) {
        return false;
    }
    parsed.searcher = model::searcher_id::trusted(parts[0]);
    extra = parsed;
    return true;
}

bool parse_targets(const std::string& text, std::vector<model::shard_ref>& targets) {
    targets.clear();
    for (const auto& it : split(text, ',')) {
        const auto parts = split(it, ':');
        if (parts.size() != 2 || !model::is_identifier(parts[0]) ||
            !model::is_identifier(parts[1])) {
            return false;
        }
        targets.push_back(
            {model::service_id::trusted(parts[0]), model::shard_id::trusted(parts[1])});
    }
    return !targets.empty();
}

bool parse_deadline(std::string_view text, std::chrono::milliseconds& deadline) {
    std::int64_t ms = 0;
    constexpr std::int64_t longest = 60'000;
    if (!parse(text, ms) || ms < 1 || ms > longest) {
        return false;
    }
    deadline = std::chrono::milliseconds{ms};
    return true;
}

/// What one option does with its value; false if the value is not valid.
struct option_entry {
    const char* name;
    bool (*apply)(const std::string& value, command_line& parsed);
};

const std::array<option_entry, 19> entries{{
    {"instances",
     [](const std::string& v, command_line& c) {
         c.options.instances = split(v, ',');
         return !c.options.instances.empty();
     }},
    {"services",
     [](const std::string& v, command_line& c) {
         c.options.services = split(v, ',');
         return !c.options.services.empty();
     }},
    {"group",
     [](const std::string& v, command_line& c) {
         c.options.group = v;
         return !v.empty();
     }},
    {"searchers",
     [](const std::string& v, command_line& c) { return parse_searchers(v, c.options.searchers); }},
    {"rate", [](const std::string& v,
                command_line& c) { return parse(v, c.options.rate) && c.options.rate > 0; }},
    {"duration-s",
     [](const std::string& v, command_line& c) { return parse_seconds(v, c.options.duration); }},
    {"max-requests",
     [](const std::string& v, command_line& c) { return parse(v, c.options.max_requests); }},
    {"deadline-ms",
     [](const std::string& v, command_line& c) { return parse_deadline(v, c.options.deadline); }},
    {"surge",
     [](const std::string& v, command_line& c) { return parse_surge(v, c.options.extra); }},
    {"query",
     [](const std::string& v, command_line& c) {
         c.options.query = v;
         return true;
     }},
    {"key-fraction", [](const std::string& v,
                        command_line& c) { return parse_fraction(v, c.options.key_fraction); }},
    {"keys", [](const std::string& v,
                command_line& c) { return parse(v, c.options.keys) && c.options.keys > 0; }},
    {"action-fraction",
     [](const std::string& v, command_line& c) {
         return parse_fraction(v, c.options.action_fraction);
     }},
    {"action-targets", [](const std::string& v,
                          command_line& c) { return parse_targets(v, c.options.action_targets); }},
    {"action-resends",
     [](const std::string& v, command_line& c) { return parse(v, c.options.action_resends); }},
    {"max-in-flight",
     [](const std::string& v, command_line& c) { return parse(v, c.options.max_in_flight); }},
    {"connections",
     [](const std::string& v, command_line& c) {
         return parse(v, c.options.connections) && c.options.connections > 0;
     }},
    {"backends",
     [](const std::string& v, command_line& c) {
         c.options.backends = split(v, ',');
         return true;
     }},
    {"seed", [](const std::string& v, command_line& c) { return parse(v, c.options.seed); }},
}};

/// The table for getopt_long: `entries` by position, then json and help.
std::vector<option> getopt_table() {
    std::vector<option> table;
    for (std::size_t i = 0; i < entries.size(); ++i) {
        table.push_back({entries.at(i).name, required_argument, nullptr, 'o'});
    }
    table.push_back({"json", required_argument, nullptr, 'j'});
    table.push_back({"help", no_argument, nullptr, 'h'});
    table.push_back({nullptr, 0, nullptr, 0});
    return table;
}

bool is_usable(const load_options& options) {
    const bool has_services = !options.services.empty() || !options.group.empty();
    const bool has_targets = options.action_fraction == 0 || !options.action_targets.empty();
    const bool has_surging =
        !options.extra ||
        std::any_of(options.searchers.begin(), options.searchers.end(),
                    [&](const auto& it) { return it.searcher == options.extra->searcher; });
    return !options.instances.empty() && has_services && has_targets && has_surging;
}

}  // namespace

std::optional<command_line> parse_command_line(int argc, char** argv, int& exit_code) {
    const auto table = getopt_table();
    command_line parsed;
    parsed.options.searchers = {{model::searcher_id::trusted("acme"), 1.0}};
    exit_code = usage_exit_code;
    int index = 0;
    int found = 0;
    while ((found = getopt_long(argc, argv, "", table.data(), &index)) != -1) {
        if (found == 'h') {
            std::cout << usage;
            exit_code = 0;
            return std::nullopt;
        }
        if (found == 'j') {
            parsed.json_file = optarg;
            continue;
        }
        if (found != 'o') {
            std::cerr << usage;
            return std::nullopt;
        }
        const auto& entry = entries.at(static_cast<std::size_t>(index));
        if (!entry.apply(optarg, parsed)) {
            std::cerr << "option --" << entry.name << ": value \"" << optarg << "\" is not valid\n";
            return std::nullopt;
        }
    }
    if (optind < argc || !is_usable(parsed.options)) {
        std::cerr << usage;
        return std::nullopt;
    }
    return parsed;
}

}  // namespace poplarfront::loadgen
