#include "wire/fleet_codec.h"

#include <catch2/catch.hpp>

#include "wire/generated/peer.pb.h"

namespace poplarfront::wire {
namespace {

TEST_CASE("a store update with arbitrary bytes and a fleet request are the same after decoding") {
    const gateway::store_update update{
        7, true, {{"a", std::string("\0\xff", 2), 5, false}, {"b", "", 6, true}}};
    const auto decoded = decode_fleet_reply(encode_fleet_reply(update));
    REQUIRE(decoded);
    CHECK(decoded.value() == update);
    const gateway::store_update changes{9, false, {{"a", "", 8, true}}, 6};
    CHECK(decode_fleet_reply(encode_fleet_reply(changes)).value() == changes);
    const gateway::store_update page{7, true, {{"b", "1", 5, false}}, 0, "a", "b", true, 7, 0};
    CHECK(decode_fleet_reply(encode_fleet_reply(page)).value() == page);
    const gateway::store_update part{6, false, {{"b", "1", 5, false}}, 4, "", "", true, 7, 5};
    CHECK(decode_fleet_reply(encode_fleet_reply(part)).value() == part);
    auto aged = changes;
    aged.age = std::chrono::milliseconds{1250};
    CHECK(decode_fleet_reply(encode_fleet_reply(aged)).value() == aged);
    const fleet_request request{{9, 12, "servers/b"}, "127.0.0.1:5"};
    CHECK(decode_fleet_request(encode_fleet_request(request)).value() == request);
}

// Guards against an instance of an earlier version that gets a page of a listing and takes it for
// all keys, so that it drops all others.
TEST_CASE("a request of an earlier version does not accept updates in parts") {
    proto::FleetRequest earlier;
    earlier.set_after(9);
    earlier.set_reply_to("127.0.0.1:5");
    const auto decoded = decode_fleet_request(earlier.SerializeAsString());
    REQUIRE(decoded);
    CHECK(decoded.value() == fleet_request{{9, 0, ""}, "127.0.0.1:5", false});
}

// Guards against a key of another writer that makes the update of all keys unreadable.
TEST_CASE("a store update with a key that is not UTF-8 is the same after decoding") {
    const gateway::store_update update{7, false, {{"servers/\xff\xfe", "1", 5, false}}, 4};
    const auto decoded = decode_fleet_reply(encode_fleet_reply(update));
    REQUIRE(decoded);
    CHECK(decoded.value() == update);
}

TEST_CASE("a truncated store update is refused instead of decoded with fewer changes") {
    const auto bytes = encode_fleet_reply({7, true, {{"key", "value", 5, false}}});
    CHECK_FALSE(decode_fleet_reply(std::string_view{bytes}.substr(0, bytes.size() - 1)));
}

}  // namespace
}  // namespace poplarfront::wire
