#pragma once

#include <memory>

#include "logging/line_buffer.h"

namespace poplarfront::logging {

/// Sends the lines of spdlog's default logger to a file descriptor. A thread of its own writes
/// them, so that a reader that stalls delays no other thread.
///
/// Thread safety: logging may happen on any thread; `create` and the destructor run on the main
/// thread.
class log_output {
public:
    /// Replaces the default logger until this ends. Precondition: the descriptor stays open.
    static std::unique_ptr<log_output> create(int descriptor, line_buffer_options options = {});

    /// Writes what is left, for a short time at most, and restores the logger before.
    ~log_output();
    log_output(const log_output&) = delete;
    log_output& operator=(const log_output&) = delete;

    [[nodiscard]] std::uint64_t dropped() const;

private:
    class implementation;
    explicit log_output(std::unique_ptr<implementation> implementation);

    std::unique_ptr<implementation> implementation_;
};

}  // namespace poplarfront::logging
