#include <catch2/catch.hpp>

#include "support/mutated_messages.h"
#include "wire/backend_json.h"
#include "wire/caller_json.h"
#include "wire/claims_codec.h"
#include "wire/configuration_codec.h"
#include "wire/gossip_codec.h"
#include "wire/instance_list.h"
#include "wire/traffic_codec.h"

/// Messages of the search profile that are changed at random must not end the process, and what is
/// decoded from them can be encoded again.
namespace poplarfront::wire {
namespace {

using test_support::decoded;
using test_support::with_mutations;

const kernel::time_point now{std::chrono::seconds{100}};
const auto request = model::request_id::trusted("r1");
const auto searcher = model::searcher_id::trusted("m");
const auto server = model::server_id::trusted("a");
const model::shard_ref shard{model::service_id::trusted("lots"), model::shard_id::trusted("0")};

model::shard_map one_service_map() {
    const auto map = model::shard_map::create(
        {1}, {{shard.service, "history", {{shard.shard, {server}}}}},
        {{server, "127.0.0.1:1", model::data_centre_id::trusted("d"), 2, 55}});
    return map ? map.value() : model::shard_map{};
}

TEST_CASE("malformed JSON of callers and backend servers does not end the process") {
    const model::shard_attempt attempt{
        request, 3,          searcher, shard,
        server,  {{4}, {5}}, "lot:1",  now + std::chrono::milliseconds{70}};
    const model::attempt_reply reply{request,
                                     3,
                                     searcher,
                                     shard,
                                     server,
                                     model::attempt_status::ok,
                                     {5},
                                     {{"k", "b"}},
                                     model::version_range{{4}, {6}},
                                     0.5};
    const backend_action_reply action_reply{request, searcher, model::attempt_status::ok, "reply"};
    const std::string action =
        R"({"searcher":"m","service":"lots","shard":"0","request_key":"1700000000000-a",)"
        R"("body":"b","deadline_ms":5})";
    const std::vector<std::string> corpus{
        R"({"searcher":"m","services":["lots"],"query":"x","deadline_ms":5,"request":"r"})",
        R"({"searcher":"m","group":"history","query":"x","deadline_ms":50})",
        action,
        R"({"instances":[{"instance":"i","operator_address":"127.0.0.1:1"}]})",
        encode_attempt(attempt, now),
        encode_attempt_reply(reply),
        encode_backend_action_reply(action_reply)};
    const auto map = one_service_map();
    with_mutations(corpus, [&](const std::string& text, auto&) {
        decoded<wire_error>([&] { return decode_search(text, map, request, now); });
        decoded<wire_error>([&] { return decode_action(text, map, request, now); });
        decoded<wire_error>([&] { return decode_operator_addresses(text); });
        decoded<wire_error>([&] { return decode_instance_list(text); });
        decoded<wire_error>([&] { return decode_status(text); });
        if (const auto it = decoded<wire_error>([&] { return decode_attempt(text, now); })) {
            CHECK_FALSE(encode_attempt(*it, now).empty());
        }
        if (const auto it = decoded<wire_error>([&] { return decode_attempt_reply(text); })) {
            CHECK_FALSE(encode_attempt_reply(*it).empty());
        }
        if (const auto it = decoded<wire_error>([&] { return decode_backend_action(text, now); })) {
            CHECK_FALSE(encode_backend_action(*it, now).empty());
        }
        if (const auto it =
                decoded<wire_error>([&] { return decode_backend_action_reply(text); })) {
            CHECK_FALSE(encode_backend_action_reply(*it).empty());
        }
    });
}

TEST_CASE("malformed messages and values of the store do not end the process") {
    const auto head =
        configuration::head{model::deployment_id::trusted("d"), {}, {}, {}, {}}.accept(
            "shards", {{}, {"config/shards/1-a"}, 5, "a"}, {{{{"h", "k"}, "v"}}});
    const routing::sub_query_batch batch{
        request, 2, searcher, {{3}, {4}}, "q", now + std::chrono::milliseconds{80}, {shard}};
    const action_forward forward{
        7,
        {request, searcher, shard, "1700000000000-a", "body", now + std::chrono::milliseconds{80}}};
    const membership::gossip_message gossip{
        17,
        {{model::instance_id::trusted("i"), model::data_centre_id::trusted("d"), "127.0.0.1:7000",
          membership::first_incarnation(std::chrono::hours{500'000}),
          model::instance_status::leaving}},
        {{server, std::chrono::seconds{9}}},
        {1, ~0U}};
    at_most_once::claim_bucket bucket;
    bucket.records[{1, 2, 3}] = {4, at_most_once::claim_state::claimed, {}, "", false};
    const std::vector<std::string> corpus{
        encode_head(head),
        encode_blob({head.deployment, "shards", "n", 1, 2, "[a]\nb=c\n"}),
        encode_delta({{{{"h", "erased"}, std::nullopt}, {{"h", "empty"}, ""}}}),
        encode_announcement({head, {{"shards", "[h]\nk=v\n"}}}),
        encode_batch(batch, now),
        encode_batch_cancel({request, 2}),
        encode_action_forward(forward, now),
        encode_gossip(gossip),
        claims_codec::encode(bucket)};
    with_mutations(corpus, [&](const std::string& bytes, auto&) {
        if (const auto it = decoded<wire_error>([&] { return decode_head(bytes); })) {
            CHECK_FALSE(encode_head(*it).empty());
        }
        if (const auto it = decoded<wire_error>([&] { return decode_gossip(bytes); })) {
            static_cast<void>(encode_gossip(*it));
        }
        if (const auto it = decoded<wire_error>([&] { return decode_batch(bytes, now); })) {
            CHECK_FALSE(encode_batch(*it, now).empty());
        }
        decoded<wire_error>([&] { return decode_blob(bytes); });
        decoded<wire_error>([&] { return decode_delta(bytes); });
        decoded<wire_error>([&] { return decode_announcement(bytes); });
        decoded<wire_error>([&] { return decode_configuration_message(bytes); });
        decoded<wire_error>([&] { return decode_batch_result(bytes); });
        decoded<wire_error>([&] { return decode_batch_cancel(bytes); });
        decoded<wire_error>([&] { return decode_action_forward(bytes, now); });
        decoded<wire_error>([&] { return decode_action_result(bytes); });
        decoded<wire_error>([&] { return claims_codec::decode(bytes); });
    });
}

}  // namespace
}  // namespace poplarfront::wire
