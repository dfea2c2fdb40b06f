#include <getopt.h>
#include <spdlog/spdlog.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <optional>
#include <sstream>

#include "kernel/lifecycle.h"
#include "kernel/state_registry.h"
#include "runtime/thread_set.h"

namespace poplarfront::daemon {
namespace {

constexpr int exit_ok = 0;
constexpr int exit_failed = 1;
constexpr int exit_usage = 64;
constexpr std::string_view version_text = "poplarfrontd " POPLARFRONT_VERSION "\n";

struct options {
    std::string config_file;
    bool check_config = false;
    /// Set if the process only prints something and exits with this code.
    std::optional<int> exit_code;
};

void print_settings(std::string_view profile) {
    for (const auto& it : kernel::registered_settings(profile)) {
        std::cout << "  [" << it.section << "] " << it.key << ": " << it.description;
        if (it.default_value) {
            std::cout << " (default \"" << *it.default_value << "\")";
        }
        std::cout << "\n";
    }
}

void print_help() {
    std::cout << "usage: poplarfrontd --config FILE [--check-config]\n"
                 "  --config FILE    INI file with the settings of this instance\n"
                 "  --check-config   check the settings and exit\n"
                 "  --help           print this text and the known settings\n"
                 "  --version        print the version\n";
    for (const auto& profile : kernel::profiles()) {
        std::cout << "\nsettings of the profile " << profile << ":\n";
        print_settings(profile);
    }
}

options parse_options(int argc, char** argv) {
    constexpr option long_options[] = {{"config", required_argument, nullptr, 'c'},
                                       {"check-config", no_argument, nullptr, 'k'},
                                       {"help", no_argument, nullptr, 'h'},
                                       {"version", no_argument, nullptr, 'v'},
                                       {nullptr, 0, nullptr, 0}};
    options parsed;
    int c = 0;
    while ((c = getopt_long(argc, argv, "c:", long_options, nullptr)) != -1) {
        switch (c) {
            case 'c':
                parsed.config_file = optarg;
                break;
            case 'k':
                parsed.check_config = true;
                break;
            case 'h':
                print_help();
                parsed.exit_code = exit_ok;
                return parsed;
            case 'v':
                std::cout << version_text;
                parsed.exit_code = exit_ok;
                return parsed;
            default:
                parsed.exit_code = exit_usage;
                return parsed;
        }
    }
    if (parsed.config_file.empty() || optind != argc) {
        std::cerr << "poplarfrontd: --config FILE is required; see --help\n";
        parsed.exit_code = exit_usage;
    }
    return parsed;
}

kernel::result<kernel::settings> load_settings(const std::string& file) {
    std::ifstream in{file};
    if (!in) {
        return boost::leaf::new_error(kernel::settings_error{file + ": cannot be read"});
    }
    std::ostringstream text;
    text << in.rdbuf();
    BOOST_LEAF_AUTO(profile, kernel::profile_of(file, text.str()));
    return kernel::settings::parse(file, text.str(), kernel::registered_settings(profile));
}

void wait_for_stop(const kernel::state_registry& state, runtime::fiber_thread& control) {
    boost::asio::io_context context;
    boost::asio::signal_set stop_signals{context, SIGTERM, SIGINT};
    boost::asio::signal_set dump_signal{context, SIGUSR1};
    std::function<void()> wait_for_dump = [&] {
        dump_signal.async_wait([&](const boost::system::error_code& ec, int) {
            if (!ec) {
                control.run([&] { spdlog::info("state {}", state.dump()); });
                wait_for_dump();
            }
        });
    };
    wait_for_dump();
    stop_signals.async_wait([&](const boost::system::error_code&, int) { dump_signal.cancel(); });
    context.run();
}

kernel::result<int> run(const options& parsed) {
    BOOST_LEAF_AUTO(settings, load_settings(parsed.config_file));
    if (parsed.check_config) {
        std::cout << parsed.config_file << ": valid\n";
        return exit_ok;
    }
    const auto name = settings.text("instance", "name");
    spdlog::set_pattern("%Y-%m-%dT%H:%M:%S.%e %^%l%$ instance=" + name + " %v");
    spdlog::set_level(spdlog::level::from_str(settings.text("log", "level")));
    kernel::module_context context{std::move(settings)};
    BOOST_LEAF_AUTO(running, kernel::lifecycle::start(context));
    spdlog::info("started");
    wait_for_stop(*context.require<kernel::state_registry>(),
                  *context.require<runtime::thread_set>()->control);
    spdlog::info("stopping");
    running.stop();
    spdlog::info("stopped");
    return exit_ok;
}

int fail(const std::string& message) {
    std::cerr << "poplarfrontd: " << message << "\n";
    return exit_failed;
}

}  // namespace
}  // namespace poplarfront::daemon

int main(int argc, char** argv) {
    using namespace poplarfront;
    const auto parsed = daemon::parse_options(argc, argv);
    if (parsed.exit_code) {
        return *parsed.exit_code;
    }
    return boost::leaf::try_handle_all(
        [&] { return daemon::run(parsed); },
        [](const kernel::settings_error& error) { return daemon::fail(error.message); },
        [](const kernel::module_error& error) {
            return daemon::fail("module " + error.module + ": " + error.message);
        },
        [] { return daemon::fail("start failed"); });
}
