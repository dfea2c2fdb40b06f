#include "kernel/settings.h"

#include <catch2/catch.hpp>

namespace poplarfront::kernel {
namespace {

const std::vector<setting_descriptor> descriptors{
    {"instance", "name", setting_kind::identifier, 0, 0, std::nullopt, "name"},
    {"limits", "threads", setting_kind::integer, 1, 64, "2", "threads"},
    {"peers", "seeds", setting_kind::list, 0, 0, "", "seeds"},
};

std::string parse_error(std::string_view text) {
    return handle<settings_error>(
        [&]() -> result<std::string> {
            BOOST_LEAF_CHECK(settings::parse("a.ini", text, descriptors));
            return std::string{"accepted"};
        },
        [](const settings_error& error) { return error.message; });
}

TEST_CASE("an invalid entry is reported with file, line, section, key and allowed range") {
    CHECK(parse_error("[instance]\nname = a\n[limits]\nthreads = 65\n") ==
          "a.ini:4: [limits] threads: \"65\" is not an integer from 1 to 64");
    CHECK(parse_error("[instance]\nname = a\nport = 1\n") ==
          "a.ini:3: [instance] port: unknown key");
    CHECK(parse_error("[limits]\nthreads = 2\n") ==
          "a.ini: [instance] name: required key is missing");
    CHECK(parse_error("[instance]\nname = a\nname = b\n") ==
          "a.ini:3: [instance] name: given twice");
    CHECK(parse_error("[instance\nname = a\n") ==
          "a.ini:1: expected [section], key = value or a comment");
}

TEST_CASE("an overlong line is rejected instead of truncated") {
    const std::string text = "[instance]\nname = " + std::string(5000, 'a') + "\n";
    CHECK(parse_error(text).find("too long") != std::string::npos);
}

TEST_CASE("absent keys have their defaults, and lists are split at commas") {
    const auto parsed =
        settings::parse("a.ini", "[instance]\nname=a\n[peers]\nseeds = x:1, y:2\n", descriptors);
    REQUIRE(parsed);
    CHECK(parsed->integer("limits", "threads") == 2);
    CHECK(parsed->list("peers", "seeds") == std::vector<std::string>{"x:1", "y:2"});
}

}  // namespace
}  // namespace poplarfront::kernel
