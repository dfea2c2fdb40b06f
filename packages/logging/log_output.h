#pragma once

#include <memory>

#include "logging/line_buffer.h"

namespace poplarfront::logging {

/// Writes the lines of spdlog's default logger to a file descriptor. A dedicated thread does the
/// writes, so that a stalled reader of the log does not delay other threads.
///
/// Thread safety: any thread may log; `create` and the destructor run on the main thread.
class log_output {
public:
    /// Replaces the default logger until the returned object is destroyed. Precondition: the
    /// descriptor stays open until then.
    static std::unique_ptr<log_output> create(int descriptor, line_buffer_options options = {});

    /// Restores the previous default logger and writes the remaining lines within a short time
    /// limit; lines left after it are lost.
    ~log_output();
    log_output(const log_output&) = delete;
    log_output& operator=(const log_output&) = delete;

    /// The number of lines dropped since the output was created.
    [[nodiscard]] std::uint64_t total_dropped() const;

private:
    class implementation;
    explicit log_output(std::unique_ptr<implementation> implementation);

    std::unique_ptr<implementation> implementation_;
};

}  // namespace poplarfront::logging
