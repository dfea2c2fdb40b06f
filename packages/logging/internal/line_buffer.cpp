#include "logging/line_buffer.h"

#include <spdlog/fmt/fmt.h>

#include <chrono>
#include <utility>

namespace poplarfront::logging {

bool line_buffer::add(std::string_view line, kernel::time_point now) {
    if (now - second_start_ >= std::chrono::seconds{1}) {
        second_start_ = now;
        lines_in_second_ = 0;
    }
    if (lines_in_second_ >= options_.max_lines_per_second ||
        bytes_.size() + line.size() > options_.max_bytes) {
        ++dropped_since_take_;
        ++total_dropped_;
        return false;
    }
    ++lines_in_second_;
    bytes_ += line;
    return true;
}

std::string line_buffer::take() {
    auto lines = std::exchange(bytes_, {});
    if (dropped_since_take_ > 0) {
        lines += fmt::format("event=log_dropped lines={} lines_since_start={}\n",
                             std::exchange(dropped_since_take_, 0), total_dropped_);
    }
    return lines;
}

}  // namespace poplarfront::logging
