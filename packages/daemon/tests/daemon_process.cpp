#include "daemon/tests/daemon_process.h"

#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <catch2/catch.hpp>
#include <csignal>
#include <thread>

namespace poplarfront::daemon {

daemon_process::daemon_process(const std::string& settings_file) {
    std::string program = POPLARFRONTD_PATH;
    std::string option = "--config";
    std::string file = settings_file;
    const std::array<char*, 4> arguments{program.data(), option.data(), file.data(), nullptr};
    REQUIRE(posix_spawn(&pid_, program.c_str(), nullptr, nullptr, arguments.data(), environ) == 0);
}

daemon_process::~daemon_process() {
    if (!exit_code_) {
        kill(pid_, SIGKILL);
        wait(std::chrono::seconds{5});
    }
}

void daemon_process::signal(int number) const {
    REQUIRE_FALSE(exit_code_);
    REQUIRE(kill(pid_, number) == 0);
}

std::optional<int> daemon_process::wait(std::chrono::milliseconds limit) {
    constexpr auto poll_interval = std::chrono::milliseconds{10};
    const auto end = std::chrono::steady_clock::now() + limit;
    while (!exit_code_ && std::chrono::steady_clock::now() <= end) {
        int status = 0;
        if (waitpid(pid_, &status, WNOHANG) == pid_) {
            constexpr int signal_base = 128;
            exit_code_ = WIFEXITED(status) ? WEXITSTATUS(status) : signal_base + WTERMSIG(status);
        } else {
            std::this_thread::sleep_for(poll_interval);
        }
    }
    return exit_code_;
}

}  // namespace poplarfront::daemon
