#include "wire/fleet_codec.h"

#include <catch2/catch.hpp>

namespace poplarfront::wire {
namespace {

TEST_CASE("news of the store arrive as they were sent, with any bytes") {
    const gateway::store_update news{
        7, true, {{"a", std::string("\0\xff", 2), 5, false}, {"b", "", 6, true}}};
    const auto decoded = decode_fleet_reply(encode_fleet_reply(news));
    REQUIRE(decoded);
    CHECK(decoded.value() == news);
    const fleet_request request{9, "127.0.0.1:5"};
    CHECK(decode_fleet_request(encode_fleet_request(request)).value() == request);
}

TEST_CASE("truncated news are refused instead of taken for fewer") {
    const auto bytes = encode_fleet_reply({7, true, {{"key", "value", 5, false}}});
    CHECK_FALSE(decode_fleet_reply(std::string_view{bytes}.substr(0, bytes.size() - 1)));
}

}  // namespace
}  // namespace poplarfront::wire
