#include "kernel/numbers.h"

#include <catch2/catch.hpp>
#include <cstdint>

namespace poplarfront::kernel {
namespace {

TEST_CASE("a text is parsed as a number only if all of it is the number") {
    CHECK(parse_number<std::int64_t>("-12") == -12);
    CHECK(parse_number<std::uint64_t>("18446744073709551615") == ~std::uint64_t{0});
    CHECK(parse_number<double>("0.25") == 0.25);
    for (const auto* text : {"", " 1", "1 ", "1x", "x", "0x1", "+1"}) {
        INFO(text);
        CHECK_FALSE(parse_number<std::int64_t>(text));
    }
    CHECK_FALSE(parse_number<std::uint64_t>("-1"));
    CHECK_FALSE(parse_number<std::uint16_t>("65536"));
}

}  // namespace
}  // namespace poplarfront::kernel
