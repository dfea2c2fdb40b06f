#include "support/child_process.h"

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <fstream>
#include <iterator>
#include <sstream>
#include <thread>

extern char** environ;

namespace poplarfront::test_support {

child_process::child_process(std::vector<std::string> command, std::filesystem::path output)
    : output_(std::move(output)) {
    std::vector<char*> argv;
    for (auto& it : command) {
        argv.push_back(it.data());
    }
    argv.push_back(nullptr);
    constexpr mode_t owner_only = 0600;
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, output_.c_str(),
                                     O_WRONLY | O_CREAT | O_TRUNC, owner_only);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    if (posix_spawn(&pid_, argv[0], &actions, nullptr, argv.data(), environ) != 0) {
        pid_ = -1;
        ended_ = -1;
    }
    posix_spawn_file_actions_destroy(&actions);
}

child_process::~child_process() {
    if (!ended_) {
        constexpr auto limit = std::chrono::seconds{5};
        signal(SIGKILL);
        wait(limit);
    }
}

void child_process::signal(int number) const {
    if (!ended_) {
        kill(pid_, number);
    }
}

std::optional<int> child_process::wait(std::chrono::milliseconds limit) {
    constexpr auto poll_interval = std::chrono::milliseconds{5};
    const auto end = std::chrono::steady_clock::now() + limit;
    while (!ended_) {
        int status = 0;
        if (waitpid(pid_, &status, WNOHANG) == pid_) {
            ended_ = WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
        } else if (std::chrono::steady_clock::now() >= end) {
            return std::nullopt;
        } else {
            std::this_thread::sleep_for(poll_interval);
        }
    }
    return ended_;
}

std::string child_process::output() const {
    std::ifstream file{output_};
    return {std::istreambuf_iterator<char>{file}, {}};
}

std::size_t child_process::peak_memory() const {
    constexpr std::size_t kilobyte = 1024;
    const std::string name = "VmHWM:";
    std::ifstream file{"/proc/" + std::to_string(pid_) + "/status"};
    std::size_t kilobytes = 0;
    for (std::string line; std::getline(file, line);) {
        if (line.starts_with(name)) {
            std::istringstream{line.substr(name.size())} >> kilobytes;
        }
    }
    return kilobytes * kilobyte;
}

std::chrono::milliseconds child_process::cpu_time() const {
    constexpr int fields_before_utime = 11;
    constexpr long ms_per_second = 1000;
    std::ifstream file{"/proc/" + std::to_string(pid_) + "/stat"};
    const std::string text{std::istreambuf_iterator<char>{file}, {}};
    // The program name may contain spaces, so fields are counted from its closing bracket.
    std::istringstream fields{text.substr(text.rfind(')') + 1)};
    std::string skipped;
    for (int i = 0; i < fields_before_utime; ++i) {
        fields >> skipped;
    }
    long user = 0;
    long system = 0;
    fields >> user >> system;
    return std::chrono::milliseconds{(user + system) * ms_per_second / sysconf(_SC_CLK_TCK)};
}

}  // namespace poplarfront::test_support
