#pragma once

#include <sys/types.h>

#include <chrono>
#include <optional>
#include <string>

namespace poplarfront::daemon {

/// One poplarfrontd process of the build folder; killed at the latest when this ends.
class daemon_process {
public:
    /// Starts the process with a settings file. Fails the test if it cannot be started.
    explicit daemon_process(const std::string& settings_file);
    ~daemon_process();
    daemon_process(const daemon_process&) = delete;
    daemon_process& operator=(const daemon_process&) = delete;

    void signal(int number) const;
    /// The exit code, or 128 plus the signal that ended it; nothing if it still runs after `limit`.
    std::optional<int> wait(std::chrono::milliseconds limit);

private:
    pid_t pid_ = 0;
    std::optional<int> exit_code_;
};

}  // namespace poplarfront::daemon
