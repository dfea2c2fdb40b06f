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

/// How long lines are collected before they are written together.
constexpr auto batch_delay = std::chrono::milliseconds{200};
/// Time limit for writing the remaining lines at shutdown.
constexpr auto final_write_timeout = std::chrono::milliseconds{300};
/// Timeout of one poll() call, after which a stop request is noticed.
constexpr int poll_timeout_ms = 100;

/// The line buffer that the logging threads share with the writer thread. Thread-safe.
class shared_line_buffer {
public:
    explicit shared_line_buffer(line_buffer_options options) : line_buffer_(options) {}

    void add(std::string_view line) {
        bool was_empty = false;
        {
            const std::lock_guard lock{mutex_};
            was_empty = line_buffer_.empty();
            line_buffer_.add(line, kernel::time_point::clock::now());
        }
        if (was_empty) {
            line_added_.notify_one();
        }
    }

    /// Waits for a line, collects more lines for `batch_delay` and returns all of them. May be
    /// empty after `stop` was called.
    std::string take() {
        std::unique_lock lock{mutex_};
        line_added_.wait(lock, [this] { return stopping_ || !line_buffer_.empty(); });
        stop_requested_.wait_for(lock, batch_delay, [this] { return stopping_; });
        return line_buffer_.take();
    }

    void stop() {
        {
            const std::lock_guard lock{mutex_};
            stopping_ = true;
        }
        line_added_.notify_one();
        stop_requested_.notify_one();
    }

    [[nodiscard]] bool stopping() const {
        const std::lock_guard lock{mutex_};
        return stopping_;
    }

    [[nodiscard]] std::uint64_t total_dropped() const {
        const std::lock_guard lock{mutex_};
        return line_buffer_.total_dropped();
    }

private:
    mutable std::mutex mutex_;
    std::condition_variable line_added_;
    std::condition_variable stop_requested_;
    line_buffer line_buffer_;
    bool stopping_ = false;
};

class buffer_sink final : public spdlog::sinks::base_sink<std::mutex> {
public:
    explicit buffer_sink(std::shared_ptr<shared_line_buffer> buffer) : buffer_(std::move(buffer)) {}

protected:
    void sink_it_(const spdlog::details::log_msg& message) override {
        spdlog::memory_buf_t formatted;
        formatter_->format(message, formatted);
        buffer_->add({formatted.data(), formatted.size()});
    }
    void flush_() override {}

private:
    std::shared_ptr<shared_line_buffer> buffer_;
};

}  // namespace

class log_output::implementation {
public:
    implementation(int descriptor, line_buffer_options options)
        : descriptor_(descriptor),
          buffer_(std::make_shared<shared_line_buffer>(options)),
          previous_logger_(spdlog::default_logger()) {
        auto logger =
            std::make_shared<spdlog::logger>("poplarfront", std::make_shared<buffer_sink>(buffer_));
        logger->set_level(previous_logger_->level());
        spdlog::set_default_logger(std::move(logger));
        writer_ = std::thread{[this] { run(); }};
    }

    ~implementation() {
        spdlog::set_default_logger(previous_logger_);
        buffer_->stop();
        writer_.join();
    }

    implementation(const implementation&) = delete;
    implementation& operator=(const implementation&) = delete;

    [[nodiscard]] std::uint64_t total_dropped() const { return buffer_->total_dropped(); }

private:
    void run() {
        while (true) {
            const bool stopping = buffer_->stopping();
            write(buffer_->take());
            if (stopping) {
                return;
            }
        }
    }

    /// Writes at most PIPE_BUF bytes at a time, which a writable pipe accepts without blocking.
    void write(std::string_view bytes) {
        std::optional<kernel::time_point> deadline;
        while (!bytes.empty()) {
            if (buffer_->stopping() && !deadline) {
                deadline = kernel::time_point::clock::now() + final_write_timeout;
            }
            if (deadline && kernel::time_point::clock::now() >= *deadline) {
                return;
            }
            pollfd ready{descriptor_, POLLOUT, 0};
            if (::poll(&ready, 1, poll_timeout_ms) == 0) {
                continue;
            }
            const auto written =
                ::write(descriptor_, bytes.data(), std::min<std::size_t>(bytes.size(), PIPE_BUF));
            if (written < 0 && errno != EINTR && errno != EAGAIN) {
                return;
            }
            bytes.remove_prefix(written > 0 ? static_cast<std::size_t>(written) : 0);
        }
    }

    int descriptor_;
    std::shared_ptr<shared_line_buffer> buffer_;
    std::shared_ptr<spdlog::logger> previous_logger_;
    std::thread writer_;
};

std::unique_ptr<log_output> log_output::create(int descriptor, line_buffer_options options) {
    return std::unique_ptr<log_output>(
        new log_output(std::make_unique<implementation>(descriptor, options)));
}

log_output::log_output(std::unique_ptr<implementation> implementation)
    : implementation_(std::move(implementation)) {}

log_output::~log_output() = default;

std::uint64_t log_output::total_dropped() const {
    return implementation_->total_dropped();
}

}  // namespace poplarfront::logging
