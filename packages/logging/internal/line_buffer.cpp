#include "logging/line_buffer.h"

#include <spdlog/fmt/fmt.h>

#include <chrono>
#include <utility>

namespace poplarfront::logging {

bool line_buffer::add(std::string_view line, kernel::time_point now) {
    if (now - second_began_ >= std::chrono::seconds{1}) {
        second_began_ = now;
        lines_in_second_ = 0;
    }
    if (lines_in_second_ >= options_.max_lines_per_second ||
        bytes_.size() + line.size() > options_.max_bytes) {
        ++dropped_;
        ++all_dropped_;
        return false;
    }
    ++lines_in_second_;
    bytes_ += line;
    return true;
}

std::string line_buffer::take() {
    auto taken = std::exchange(bytes_, {});
    if (dropped_ > 0) {
        taken += fmt::format("event=log_dropped lines={} lines_since_start={}\n",
                             std::exchange(dropped_, 0), all_dropped_);
    }
    return taken;
}

}  // namespace poplarfront::logging
