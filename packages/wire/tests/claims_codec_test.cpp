#include "wire/claims_codec.h"

#include <catch2/catch.hpp>

namespace poplarfront::wire {
namespace {

using namespace at_most_once;

TEST_CASE(
    "a claim bucket is the same after decoding, and its size is at most the computed maximum") {
    claim_bucket bucket;
    bucket.records[{~0ULL, ~0ULL, ~0ULL}] = {~0ULL, claim_state::completed,
                                             wall_time{999'999'999'999'999},
                                             std::string(300, '\xff'), true};
    bucket.records[{1, 2, 3}] = {4, claim_state::claimed, wall_time{5}, "", false};
    bucket.records[{1, 2, 4}] = {5, claim_state::released, wall_time{6}, "", false};
    const auto bytes = claims_codec::encode(bucket);
    CHECK(bytes.size() <= bucket.max_encoded_size());
    const auto decoded = claims_codec::decode(bytes);
    REQUIRE(decoded);
    CHECK(decoded.value() == bucket);
}

TEST_CASE("malformed claim buckets are refused: as empty ones they would let actions run twice") {
    claim_bucket bucket;
    bucket.records[{1, 2, 3}] = {4, claim_state::claimed, wall_time{5}, "", false};
    const auto bytes = claims_codec::encode(bucket);
    CHECK_FALSE(claims_codec::decode(bytes.substr(0, bytes.size() - 1)));
    CHECK_FALSE(claims_codec::decode("not a bucket"));
    const std::string newer_format{"\x08\x02", 2};
    CHECK_FALSE(claims_codec::decode(newer_format));
    bucket.records[{1, 2, 3}].nonce = 0;
    CHECK_FALSE(claims_codec::decode(claims_codec::encode(bucket)));
    CHECK(claims_codec::decode("").value() == claim_bucket{});
}

}  // namespace
}  // namespace poplarfront::wire
