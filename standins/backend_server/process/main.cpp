#include <getopt.h>
#include <signal.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdio>
#include <iostream>
#include <optional>
#include <string>
#include <vector>

#include "backend_server/backend_server.h"

namespace poplarfront::standins {
namespace {

constexpr int usage_exit_code = 2;
constexpr auto stop_limit = std::chrono::seconds{5};

constexpr const char* usage =
    "Usage: backend_server_standin --shards SERVICE:SHARD,... [options]\n"
    "  --listen IP:PORT          address to listen on (127.0.0.1:0)\n"
    "  --name NAME               name in the counters (backend)\n"
    "  --shards S:D,...          shards held\n"
    "  --service-shards S:D,...  all shards of the services (those held)\n"
    "  --slots N                 requests executed at once (2)\n"
    "  --queue N                 requests that wait for a slot (8)\n"
    "  --connections N           connections accepted (55)\n"
    "  --connect-cost-ms N       time a new connection costs (0)\n"
    "  --latency-us N            median execution time (1000)\n"
    "  --latency-sigma X         spread of the log-normal execution time (0.3)\n"
    "  --cold-start-ms N         time of slow execution after start (0)\n"
    "  --versions OLDEST:NEWEST  index versions held (1:1)\n"
    "  --crash-text TEXT         a query with this text ends the process\n"
    "  --seed N                  seed of the execution times (1)\n"
    "  --help                    this text\n";

std::vector<std::string> split(const std::string& text) {
    std::vector<std::string> parts;
    std::size_t begin = 0;
    while (begin < text.size()) {
        const auto end = std::min(text.find(',', begin), text.size());
        parts.push_back(text.substr(begin, end - begin));
        begin = end + 1;
    }
    return parts;
}

template <class Number>
bool parse(std::string_view text, Number& number) {
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), number);
    return parsed.ec == std::errc{} && parsed.ptr == text.data() + text.size();
}

bool parse_versions(std::string_view text, model::version_range& versions) {
    const auto colon = text.find(':');
    return colon != std::string_view::npos && parse(text.substr(0, colon), versions.oldest.value) &&
           parse(text.substr(colon + 1), versions.newest.value) &&
           versions.oldest <= versions.newest;
}

template <class Duration>
bool parse_time(std::string_view text, Duration& time) {
    std::int64_t count = 0;
    if (!parse(text, count) || count < 0) {
        return false;
    }
    time = Duration{count};
    return true;
}

/// The parsed command line; `layout` parts are checked by make_layout.
struct command_line {
    backend_server_options options;
    std::vector<std::string> held;
    std::vector<std::string> all;
};

bool apply_option(const std::string& name, const std::string& value, command_line& parsed) {
    auto& options = parsed.options;
    auto& behaviour = options.behaviour;
    if (name == "listen") {
        options.listen = value;
        return true;
    }
    if (name == "name") {
        options.name = value;
        return true;
    }
    if (name == "shards") {
        parsed.held = split(value);
        return true;
    }
    if (name == "service-shards") {
        parsed.all = split(value);
        return true;
    }
    if (name == "crash-text") {
        behaviour.crash_text = value;
        return true;
    }
    if (name == "slots") {
        return parse(value, behaviour.slots) && behaviour.slots > 0;
    }
    if (name == "queue") {
        return parse(value, behaviour.queue);
    }
    if (name == "connections") {
        return parse(value, options.connections);
    }
    if (name == "connect-cost-ms") {
        return parse_time(value, options.connect_cost);
    }
    if (name == "latency-us") {
        return parse_time(value, behaviour.latency);
    }
    if (name == "latency-sigma") {
        return parse(value, behaviour.latency_sigma) && behaviour.latency_sigma >= 0;
    }
    if (name == "cold-start-ms") {
        return parse_time(value, behaviour.cold_start);
    }
    if (name == "versions") {
        return parse_versions(value, behaviour.versions);
    }
    return parse(value, options.seed);
}

const std::array<option, 16> known_options{{
    {"listen", required_argument, nullptr, 'o'},
    {"name", required_argument, nullptr, 'o'},
    {"shards", required_argument, nullptr, 'o'},
    {"service-shards", required_argument, nullptr, 'o'},
    {"slots", required_argument, nullptr, 'o'},
    {"queue", required_argument, nullptr, 'o'},
    {"connections", required_argument, nullptr, 'o'},
    {"connect-cost-ms", required_argument, nullptr, 'o'},
    {"latency-us", required_argument, nullptr, 'o'},
    {"latency-sigma", required_argument, nullptr, 'o'},
    {"cold-start-ms", required_argument, nullptr, 'o'},
    {"versions", required_argument, nullptr, 'o'},
    {"crash-text", required_argument, nullptr, 'o'},
    {"seed", required_argument, nullptr, 'o'},
    {"help", no_argument, nullptr, 'h'},
    {nullptr, 0, nullptr, 0},
}};

/// Nothing if the process should end with `exit_code`.
std::optional<command_line> parse_command_line(int argc, char** argv, int& exit_code) {
    command_line parsed;
    parsed.options.on_crash = crash_effect::exit_process;
    exit_code = usage_exit_code;
    int index = 0;
    while (true) {
        const int found = getopt_long(argc, argv, "", known_options.data(), &index);
        if (found == -1) {
            break;
        }
        if (found == 'h') {
            std::cout << usage;
            exit_code = 0;
            return std::nullopt;
        }
        if (found != 'o') {
            std::cerr << usage;
            return std::nullopt;
        }
        const std::string name = known_options.at(static_cast<std::size_t>(index)).name;
        if (!apply_option(name, optarg, parsed)) {
            std::cerr << "option --" << name << ": value \"" << optarg << "\" is not valid\n";
            return std::nullopt;
        }
    }
    if (optind < argc || parsed.held.empty()) {
        std::cerr << usage;
        return std::nullopt;
    }
    return parsed;
}

kernel::result<int> serve(command_line parsed) {
    BOOST_LEAF_AUTO(layout, make_layout({0}, parsed.held, parsed.all));
    parsed.options.behaviour.layouts = {std::move(layout)};
    const auto thread = runtime::fiber_thread::create("backend");
    BOOST_LEAF_AUTO(server, backend_server::create(thread, std::move(parsed.options)));
    std::cout << "listening on " << server->address() << std::endl;
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    int received = 0;
    sigwait(&signals, &received);
    server->change([](backend_behaviour& behaviour) { behaviour.draining = true; });
    server->stop(stop_limit);
    thread->stop();
    return 0;
}

void block_signals() {
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

int run(int argc, char** argv) {
    int exit_code = 0;
    auto parsed = parse_command_line(argc, argv, exit_code);
    if (!parsed) {
        return exit_code;
    }
    block_signals();
    return boost::leaf::try_handle_all(
        [&]() -> kernel::result<int> { return serve(std::move(*parsed)); },
        [](const runtime::listen_error& error) {
            std::cerr << "cannot listen on " << error.address << ": " << error.message << "\n";
            return 1;
        },
        [](const model::model_error& error) {
            std::cerr << "option --shards: " << error.message << "\n";
            return usage_exit_code;
        },
        [] { return 1; });
}

}  // namespace
}  // namespace poplarfront::standins

int main(int argc, char** argv) {
    return poplarfront::standins::run(argc, argv);
}
