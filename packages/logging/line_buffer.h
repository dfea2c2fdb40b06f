#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "kernel/concepts.h"

namespace poplarfront::logging {

struct line_buffer_options {
    /// Lines kept in one second; several times what an instance logs in a surge.
    std::uint32_t max_lines_per_second = 500;
    /// Bytes that wait to be written.
    std::size_t max_bytes = std::size_t{64} * 1024;
};

/// Log lines that wait to be written, within a budget of lines and of bytes. Lines beyond it are
/// dropped and counted. Not thread-safe.
class line_buffer {
public:
    explicit line_buffer(line_buffer_options options = {}) : options_(options) {}

    /// Adds a line that ends with a line end. False if it was dropped.
    bool add(std::string_view line, kernel::time_point now);

    [[nodiscard]] bool empty() const { return bytes_.empty() && dropped_ == 0; }
    [[nodiscard]] std::uint64_t dropped() const { return all_dropped_; }

    /// Takes all lines, and one that tells how many were dropped since the last call.
    std::string take();

private:
    line_buffer_options options_;
    std::string bytes_;
    kernel::time_point second_began_{};
    std::uint32_t lines_in_second_ = 0;
    std::uint64_t dropped_ = 0;
    std::uint64_t all_dropped_ = 0;
};

}  // namespace poplarfront::logging
