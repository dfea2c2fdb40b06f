#include <fcntl.h>
#include <spdlog/spdlog.h>
#include <unistd.h>

#include <array>
#include <catch2/catch.hpp>
#include <string>

#include "logging/line_buffer.h"
#include "logging/log_output.h"

namespace poplarfront::logging {
namespace {

const kernel::time_point now{std::chrono::seconds{100}};

TEST_CASE("lines beyond the limit per second are dropped, counted and reported") {
    line_buffer buffer{{2, 1000}};
    CHECK(buffer.add("a\n", now));
    CHECK(buffer.add("b\n", now));
    CHECK_FALSE(buffer.add("c\n", now));
    CHECK(buffer.take() == "a\nb\nevent=log_dropped lines=1 lines_since_start=1\n");
    CHECK(buffer.empty());
    CHECK(buffer.add("d\n", now + std::chrono::seconds{1}));
    CHECK(buffer.take() == "d\n");
}

TEST_CASE("lines that are never taken use bounded memory") {
    line_buffer buffer{{1'000'000, 100}};
    for (int it = 0; it < 1000; ++it) {
        buffer.add("0123456789\n", now);
    }
    CHECK(buffer.total_dropped() == 1000 - 9);
    CHECK(buffer.take().size() < 200);
}

TEST_CASE("a stalled reader blocks neither logging nor shutdown") {
    std::array<int, 2> pipe_ends{};
    REQUIRE(pipe(pipe_ends.data()) == 0);
    const auto start = std::chrono::steady_clock::now();
    {
        const auto output = log_output::create(pipe_ends[1], {1'000'000, std::size_t{64} * 1024});
        const std::string text(1000, 'x');
        for (int it = 0; it < 5000; ++it) {
            spdlog::info(text);
        }
        CHECK(output->total_dropped() > 0);
    }
    CHECK(std::chrono::steady_clock::now() - start < std::chrono::seconds{3});
    close(pipe_ends[0]);
    close(pipe_ends[1]);
}

TEST_CASE("all lines within the limits are written, including the last ones at shutdown") {
    std::array<int, 2> pipe_ends{};
    REQUIRE(pipe(pipe_ends.data()) == 0);
    {
        const auto output = log_output::create(pipe_ends[1]);
        spdlog::info("first");
        spdlog::info("last");
    }
    close(pipe_ends[1]);
    std::string text(4096, '\0');
    const auto n = read(pipe_ends[0], text.data(), text.size());
    REQUIRE(n > 0);
    text.resize(static_cast<std::size_t>(n));
    CHECK(text.find("first") < text.find("last"));
    close(pipe_ends[0]);
}

}  // namespace
}  // namespace poplarfront::logging
