#include <catch2/catch.hpp>

#include "wire/envelope.h"
#include "wire/generated/peer.pb.h"
#include "wire/traffic_codec.h"

namespace poplarfront::wire {
namespace {

const auto deployment = model::deployment_id::trusted("richelieu");
const envelope sample{
    deployment, model::instance_id::trusted("i1"), {3}, message_kind::sub_query_cancel, "payload"};

std::string rejected_field_or_accepted(std::string_view bytes, const model::deployment_id& own) {
    return kernel::handle<wire_error>(
        [&]() -> kernel::result<std::string> {
            BOOST_LEAF_CHECK(decode_envelope(bytes, own));
            return std::string{"accepted"};
        },
        [](const wire_error& error) { return error.field; });
}

TEST_CASE("messages of another deployment, a newer protocol or an unknown kind are refused") {
    const auto bytes = encode_envelope(sample);
    CHECK(rejected_field_or_accepted(bytes, deployment) == "accepted");
    CHECK(rejected_field_or_accepted(bytes, model::deployment_id::trusted("bengal")) ==
          "deployment");
    proto::Envelope altered;
    altered.ParseFromString(bytes);
    altered.set_protocol_version(protocol_version + 1);
    CHECK(rejected_field_or_accepted(altered.SerializeAsString(), deployment) ==
          "protocol_version");
    altered.set_protocol_version(protocol_version);
    altered.set_kind(99);
    CHECK(rejected_field_or_accepted(altered.SerializeAsString(), deployment) == "kind");
}

TEST_CASE("truncated messages are refused at every length or differ from the original") {
    const auto bytes = encode_envelope(sample);
    for (std::size_t n = 0; n < bytes.size(); ++n) {
        const auto decoded = decode_envelope(bytes.substr(0, n), deployment);
        CHECK((!decoded || decoded.value() != sample));
    }
}

TEST_CASE("batches and results are the same after decoding") {
    const kernel::time_point now{std::chrono::seconds{9}};
    const model::shard_ref shard{model::service_id::trusted("lots"), model::shard_id::trusted("0")};
    const routing::sub_query_batch batch{model::request_id::trusted("r"),
                                         2,
                                         model::searcher_id::trusted("m"),
                                         {{3}, {4}},
                                         "q",
                                         now + std::chrono::milliseconds{80},
                                         {shard}};
    const auto decoded = decode_batch(encode_batch(batch, now), now);
    REQUIRE(decoded);
    CHECK(decoded.value() == batch);

    routing::sub_query_result result{
        batch.request,
        2,
        batch.searcher,
        {{shard, model::missing_reason::none, {4}, {{"k", "b"}}, model::version_range{{3}, {4}}}}};
    result.shards.front().crash_symptom = true;
    result.shards.front().crashed = {model::server_id::trusted("s1")};
    const auto decoded_result = decode_batch_result(encode_batch_result(result));
    REQUIRE(decoded_result);
    CHECK(decoded_result.value() == result);
}

TEST_CASE("a forwarded action and its result are the same after decoding, with their message id") {
    const kernel::time_point now{std::chrono::seconds{9}};
    const action_forward forward{
        7,
        {model::request_id::trusted("r"),
         model::searcher_id::trusted("m"),
         {model::service_id::trusted("billing"), model::shard_id::trusted("0")},
         "1700000000000-a",
         "body",
         now + std::chrono::milliseconds{80}}};
    const auto decoded = decode_action_forward(encode_action_forward(forward, now), now);
    REQUIRE(decoded);
    CHECK(decoded.value() == forward);

    const action_result result{7,
                               forward.action.request,
                               forward.action.searcher,
                               {model::action_status::executed, "reply", ""}};
    const auto decoded_result = decode_action_result(encode_action_result(result));
    REQUIRE(decoded_result);
    CHECK(decoded_result.value() == result);
}

TEST_CASE("a forward without a message id is refused: its duplicates could not be recognised") {
    const kernel::time_point now{std::chrono::seconds{9}};
    action_forward forward;
    forward.action.request = model::request_id::trusted("r");
    forward.action.searcher = model::searcher_id::trusted("m");
    forward.action.target = {model::service_id::trusted("billing"), model::shard_id::trusted("0")};
    CHECK_FALSE(decode_action_forward(encode_action_forward(forward, now), now));
    forward.message_id = 1;
    CHECK(decode_action_forward(encode_action_forward(forward, now), now));
}

}  // namespace
}  // namespace poplarfront::wire
