#include "wire/gossip_codec.h"

#include <catch2/catch.hpp>

namespace poplarfront::wire {
namespace {

model::instance_info row(const std::string& name) {
    return {model::instance_id::trusted(name), model::data_centre_id::trusted("office-annex"),
            "127.0.0.1:7000", membership::first_incarnation(std::chrono::hours{500'000}),
            model::instance_status::leaving};
}

const membership::gossip_message sample{17,
                                        {row("a"), row("b")},
                                        {{model::server_id::trusted("s"), std::chrono::seconds{9}}},
                                        {1, ~0U}};

TEST_CASE("a gossip message is the same after decoding") {
    CHECK(decode_gossip(encode_gossip(sample)).value() == sample);
}

TEST_CASE("a truncated gossip message or one with an invalid row is refused") {
    const auto bytes = encode_gossip(sample);
    CHECK_FALSE(decode_gossip(std::string_view{bytes}.substr(0, bytes.size() / 2)));
    auto bad = sample;
    bad.members[0].instance = model::instance_id::trusted("no spaces");
    CHECK_FALSE(decode_gossip(encode_gossip(bad)));
    bad = sample;
    bad.members[0].status = static_cast<model::instance_status>(9);
    CHECK_FALSE(decode_gossip(encode_gossip(bad)));
    bad = sample;
    bad.members[0].peer_address = std::string(65, '1');
    CHECK_FALSE(decode_gossip(encode_gossip(bad)));
}

TEST_CASE("the encoded size of a row is at most the computed maximum") {
    auto longest = row(std::string(64, 'i'));
    longest.data_centre = model::data_centre_id::trusted(std::string(64, 'd'));
    longest.peer_address = std::string(64, '1');
    longest.incarnation_number.value = ~std::uint64_t{0};
    const auto bytes = encode_gossip({0, {longest}, {}, {}});
    CHECK(bytes.size() <= membership::max_encoded_size(longest));
}

}  // namespace
}  // namespace poplarfront::wire
