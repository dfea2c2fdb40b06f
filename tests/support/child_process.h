#pragma once

#include <sys/types.h>

#include <chrono>
#include <filesystem>
#include <optional>
#include <string>
#include <vector>

namespace poplarfront::test_support {

/// A process that ends with this object. Its output goes to a file.
///
/// Thread safety: used on one thread.
class child_process {
public:
    /// Starts `command`, whose first part is the program.
    child_process(std::vector<std::string> command, std::filesystem::path output);
    /// Kills the process if it still runs.
    ~child_process();
    child_process(const child_process&) = delete;
    child_process& operator=(const child_process&) = delete;

    void signal(int number) const;
    /// The exit code, or minus the signal that ended it; nothing if it still runs after `limit`.
    std::optional<int> wait(std::chrono::milliseconds limit);
    [[nodiscard]] std::string output() const;
    /// The largest resident size so far, in bytes; 0 if the process has ended.
    [[nodiscard]] std::size_t peak_memory() const;
    /// User and system CPU time so far.
    [[nodiscard]] std::chrono::milliseconds cpu_time() const;

private:
    pid_t pid_ = -1;
    std::optional<int> ended_;
    std::filesystem::path output_;
};

}  // namespace poplarfront::test_support
