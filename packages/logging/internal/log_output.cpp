#include "logging/log_output.h"

#include <limits.h>
#include <poll.h>
#include <spdlog/sinks/base_sink.h>
#include <spdlog/spdlog.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <condition_variable>
#include <mutex>
#include <optional>
#include <string>
#include <thread>

namespace poplarfront::logging {
namespace {

/// How long lines are gathered before one write.
constexpr auto gather_time = std::chrono::milliseconds{200};
/// How long the last lines may take at the end.
constexpr auto last_write_limit = std::chrono::milliseconds{300};
/// How long one wait for the reader lasts.
constexpr int poll_ms = 100;

/// The lines between the threads that log and the one that writes.
class shared_lines {
public:
    explicit shared_lines(line_buffer_options options) : buffer_(options) {}

    void add(std::string_view line) {
        bool was_empty = false;
        {
            const std::lock_guard lock{mutex_};
            was_empty = buffer_.empty();
            buffer_.add(line, kernel::time_point::clock::now());
        }
        if (was_empty) {
            arrived_.notify_one();
        }
    }

    /// Waits for lines and gathers more for a moment. Empty at the end.
    std::string take() {
        std::unique_lock lock{mutex_};
        arrived_.wait(lock, [this] { return stopping_ || !buffer_.empty(); });
        stopped_.wait_for(lock, gather_time, [this] { return stopping_; });
        return buffer_.take();
    }

    void stop() {
        {
            const std::lock_guard lock{mutex_};
            stopping_ = true;
        }
        arrived_.notify_one();
        stopped_.notify_one();
    }

    [[nodiscard]] bool stopping() const {
        const std::lock_guard lock{mutex_};
        return stopping_;
    }

    [[nodiscard]] std::uint64_t dropped() const {
        const std::lock_guard lock{mutex_};
        return buffer_.dropped();
    }

private:
    mutable std::mutex mutex_;
    std::condition_variable arrived_;
    std::condition_variable stopped_;
    line_buffer buffer_;
    bool stopping_ = false;
};

class buffer_sink final : public spdlog::sinks::base_sink<std::mutex> {
public:
    explicit buffer_sink(std::shared_ptr<shared_lines> lines) : lines_(std::move(lines)) {}

protected:
    void sink_it_(const spdlog::details::log_msg& message) override {
        spdlog::memory_buf_t formatted;
        formatter_->format(message, formatted);
        lines_->add({formatted.data(), formatted.size()});
    }
    void flush_() override {}

private:
    std::shared_ptr<shared_lines> lines_;
};

}  // namespace

class log_output::implementation {
public:
    implementation(int descriptor, line_buffer_options options)
        : descriptor_(descriptor),
          lines_(std::make_shared<shared_lines>(options)),
          previous_(spdlog::default_logger()) {
        auto logger =
            std::make_shared<spdlog::logger>("poplarfront", std::make_shared<buffer_sink>(lines_));
        logger->set_level(previous_->level());
        spdlog::set_default_logger(std::move(logger));
        writer_ = std::thread{[this] { run(); }};
    }

    ~implementation() {
        spdlog::set_default_logger(previous_);
        lines_->stop();
        writer_.join();
    }

    implementation(const implementation&) = delete;
    implementation& operator=(const implementation&) = delete;

    [[nodiscard]] std::uint64_t dropped() const { return lines_->dropped(); }

private:
    void run() {
        while (true) {
            const bool last = lines_->stopping();
            write(lines_->take());
            if (last) {
                return;
            }
        }
    }

    /// Writes in pieces that a pipe takes without blocking once it is writable.
    void write(std::string_view bytes) {
        std::optional<kernel::time_point> until;
        while (!bytes.empty()) {
            if (lines_->stopping() && !until) {
                until = kernel::time_point::clock::now() + last_write_limit;
            }
            if (until && kernel::time_point::clock::now() >= *until) {
                return;
            }
            pollfd ready{descriptor_, POLLOUT, 0};
            if (::poll(&ready, 1, poll_ms) == 0) {
                continue;
            }
            const auto n =
                ::write(descriptor_, bytes.data(), std::min<std::size_t>(bytes.size(), PIPE_BUF));
            if (n < 0 && errno != EINTR && errno != EAGAIN) {
                return;
            }
            bytes.remove_prefix(n > 0 ? static_cast<std::size_t>(n) : 0);
        }
    }

    int descriptor_;
    std::shared_ptr<shared_lines> lines_;
    std::shared_ptr<spdlog::logger> previous_;
    std::thread writer_;
};

std::unique_ptr<log_output> log_output::create(int descriptor, line_buffer_options options) {
    return std::unique_ptr<log_output>(
        new log_output(std::make_unique<implementation>(descriptor, options)));
}

log_output::log_output(std::unique_ptr<implementation> implementation)
    : implementation_(std::move(implementation)) {}

log_output::~log_output() = default;

std::uint64_t log_output::dropped() const {
    return implementation_->dropped();
}

}  // namespace poplarfront::logging
