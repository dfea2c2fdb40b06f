#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "kernel/concepts.h"

namespace poplarfront::logging {

struct line_buffer_options {
    /// Lines accepted within one second: several times what an instance logs during a load surge.
    std::uint32_t max_lines_per_second = 500;
    /// Maximum total size of the lines that were not taken yet.
    std::size_t max_bytes = std::size_t{64} * 1024;
};

/// A buffer of log lines that wait to be written, with a limit on lines per second and on bytes.
/// Lines beyond a limit are dropped and counted. Not thread-safe.
class line_buffer {
public:
    explicit line_buffer(line_buffer_options options = {}) : options_(options) {}

    /// Adds a line, which must end with a newline. False if it was dropped.
    bool add(std::string_view line, kernel::time_point now);

    [[nodiscard]] bool empty() const { return bytes_.empty() && dropped_since_take_ == 0; }
    /// The number of lines dropped since the buffer was created.
    [[nodiscard]] std::uint64_t total_dropped() const { return total_dropped_; }

    /// Removes and returns all lines. If lines were dropped since the last call, a line with their
    /// number follows.
    std::string take();

private:
    line_buffer_options options_;
    std::string bytes_;
    kernel::time_point second_start_{};
    std::uint32_t lines_in_second_ = 0;
    std::uint64_t dropped_since_take_ = 0;
    std::uint64_t total_dropped_ = 0;
};

}  // namespace poplarfront::logging
