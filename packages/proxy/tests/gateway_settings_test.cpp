#include "proxy/gateway_settings.h"

#include <catch2/catch.hpp>

namespace poplarfront::proxy {
namespace {

kernel::result<kernel::settings> parse(const std::string& gateway_lines) {
    auto known = gateway_settings();
    known.push_back({"instance", "data_centre", kernel::setting_kind::identifier});
    return kernel::settings::parse("a.ini",
                                   "[instance]\ndata_centre = here\n[gateway]\n"
                                   "clients = 127.0.0.1:1\nready = 127.0.0.1:2\n" +
                                       gateway_lines,
                                   known);
}

TEST_CASE("the budget of hedges and retries stays within the allowed ratio and slack") {
    const auto settings = parse("extra_ratio = 0.2\nextra_slack = 122\n");
    REQUIRE(settings);
    const auto options = session_options_from(settings.value());
    CHECK(options.extra_ratio < 0.2);
    CHECK(options.extra_slack * options.extra_slack_fraction *
              (1 + options.initial_token_fraction) <=
          122);
    CHECK(options.data_centre == "here");
}

TEST_CASE(
    "settings that are out of range or malformed are rejected instead of read as other values") {
    CHECK_FALSE(parse("extra_ratio = 1.5\n"));
    CHECK_FALSE(parse("extra_ratio = nan\n"));
    CHECK_FALSE(parse("extra_slack = -1\n"));
    CHECK_FALSE(parse("drain_ms = 1.5\n"));
}

// Guards against an instance of the smallest size that runs out of memory, and against traffic
// threads that each use the share of the whole process.
TEST_CASE("incomplete replies use an eighth of the memory of a process") {
    const auto of_all_threads = [](const std::string& lines, std::size_t thread_count) {
        const auto settings = parse(lines);
        REQUIRE(settings);
        return thread_count *
               backend_pool_options_from(settings.value(), thread_count).max_incomplete_reply_bytes;
    };
    CHECK(of_all_threads("", 1) == 14'000'000);
    CHECK(of_all_threads("memory_mb = 512\n", 4) == 64'000'000);
    CHECK_FALSE(parse("memory_mb = 0\n"));
}

}  // namespace
}  // namespace poplarfront::proxy
