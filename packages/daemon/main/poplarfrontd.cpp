#include <getopt.h>
#include <spdlog/fmt/fmt.h>
#include <spdlog/spdlog.h>
#include <unistd.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <csignal>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <optional>
#include <sstream>

#include "kernel/lifecycle.h"
#include "kernel/reload.h"
#include "kernel/state_registry.h"
#include "logging/log_output.h"
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
    BOOST_LEAF_AUTO(profile, kernel::parse_profile(file, text.str()));
    return kernel::settings::parse(file, text.str(), kernel::registered_settings(profile));
}

/// Takes over the settings file if it has changed, or leaves all settings as they are.
class settings_reloader {
public:
    settings_reloader(std::string file, kernel::settings current,
                      std::shared_ptr<const kernel::reload_handlers> handlers)
        : file_(std::move(file)), current_(std::move(current)), handlers_(std::move(handlers)) {
        read_ = state_of_file();
    }

    /// `asked`: also tells that nothing has changed.
    void reload(bool asked) {
        const auto state = state_of_file();
        if (!asked && state == read_) {
            return;
        }
        read_ = state;
        boost::leaf::try_handle_all(
            [&]() -> kernel::result<void> {
                BOOST_LEAF_AUTO(next, load_settings(file_));
                if (next == current_) {
                    spdlog::info("event=reload outcome=unchanged file={}", file_);
                    return {};
                }
                const auto profile = current_.text("process", "profile");
                BOOST_LEAF_CHECK(
                    kernel::check_reload(current_, next, kernel::registered_settings(profile)));
                handlers_->apply(next);
                spdlog::info("event=reload outcome=applied file={} keys=\"{}\"", file_,
                             fmt::join(next.differences(current_), ", "));
                current_ = std::move(next);
                return {};
            },
            [&](const kernel::settings_error& error) {
                spdlog::error("event=reload outcome=refused file={} message=\"{}\"", file_,
                              error.message);
            },
            [&] { spdlog::error("event=reload outcome=refused file={}", file_); });
    }

private:
    using file_state = std::pair<std::filesystem::file_time_type, std::uintmax_t>;

    [[nodiscard]] file_state state_of_file() const {
        std::error_code ec;
        const auto time = std::filesystem::last_write_time(file_, ec);
        return {time, std::filesystem::file_size(file_, ec)};
    }

    std::string file_;
    kernel::settings current_;
    std::shared_ptr<const kernel::reload_handlers> handlers_;
    file_state read_;
};

/// Receives the signals of the process for as long as it exists, so that none of them ends the
/// process, and serves them in `run`. Signals that arrive before are served then; signals that
/// arrive after it have no effect.
///
/// Thread safety: used on the main thread only.
class signal_loop {
public:
    /// Serves signals until one asks the process to stop. The arguments outlive the call.
    void run(const kernel::state_registry& state, runtime::fiber_thread& control,
             settings_reloader& reloader) {
        stop_.async_wait([this](const boost::system::error_code&, int) { context_.stop(); });
        wait_for_dump(state, control);
        wait_for_reload(reloader);
        check_file_later(reloader);
        context_.run();
    }

private:
    void wait_for_dump(const kernel::state_registry& state, runtime::fiber_thread& control) {
        dump_.async_wait([this, &state, &control](const boost::system::error_code&, int) {
            control.run([&] { spdlog::info("state {}", state.dump()); });
            wait_for_dump(state, control);
        });
    }

    void wait_for_reload(settings_reloader& reloader) {
        reload_.async_wait([this, &reloader](const boost::system::error_code&, int) {
            reloader.reload(true);
            wait_for_reload(reloader);
        });
    }

    void check_file_later(settings_reloader& reloader) {
        constexpr auto interval = std::chrono::seconds{2};
        file_timer_.expires_after(interval);
        file_timer_.async_wait([this, &reloader](const boost::system::error_code&) {
            reloader.reload(false);
            check_file_later(reloader);
        });
    }

    boost::asio::io_context context_;
    boost::asio::signal_set stop_{context_, SIGTERM, SIGINT};
    boost::asio::signal_set dump_{context_, SIGUSR1};
    boost::asio::signal_set reload_{context_, SIGHUP};
    boost::asio::steady_timer file_timer_{context_};
};

kernel::result<int> run(const options& parsed) {
    BOOST_LEAF_AUTO(settings, load_settings(parsed.config_file));
    if (parsed.check_config) {
        std::cout << parsed.config_file << ": valid\n";
        return exit_ok;
    }
    const auto name = settings.text("instance", "name");
    const auto output = logging::log_output::create(STDOUT_FILENO);
    spdlog::set_pattern("%Y-%m-%dT%H:%M:%S.%e %l instance=" + name + " %v");
    spdlog::set_level(spdlog::level::from_str(settings.text("log", "level")));
    kernel::module_context context{settings};
    // Created before the first module starts and destroyed after the last one has stopped: a signal
    // without a handler would end the process together with the requests under way.
    signal_loop signals;
    BOOST_LEAF_AUTO(running, kernel::lifecycle::start(context));
    spdlog::info("event=start outcome=started version={} profile={}", POPLARFRONT_VERSION,
                 settings.text("process", "profile"));
    settings_reloader reloader{parsed.config_file, std::move(settings),
                               context.require<kernel::reload_handlers>()};
    signals.run(*context.require<kernel::state_registry>(),
                *context.require<runtime::thread_set>()->control, reloader);
    spdlog::info("event=stop outcome=begun");
    running.stop();
    spdlog::info("event=stop outcome=done");
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
    // A SIGHUP before the signal loop runs has nothing to reload, and a reader of the log that goes
    // away must not end the process.
    std::signal(SIGHUP, SIG_IGN);
    std::signal(SIGPIPE, SIG_IGN);
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
