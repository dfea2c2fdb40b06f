#include <catch2/catch.hpp>

#include "wire/backend_json.h"
#include "wire/caller_json.h"

namespace poplarfront::wire {
namespace {

const kernel::time_point start{std::chrono::seconds{100}};
const auto generated = model::request_id::trusted("r1");

model::shard_map one_service_map() {
    const auto server = model::server_id::trusted("a");
    const auto map = model::shard_map::create(
        {1},
        {{model::service_id::trusted("lots"),
          "history",
          {{model::shard_id::trusted("0"), {server}}}}},
        {{server, "127.0.0.1:1", model::data_centre_id::trusted("d"), 2, 55}});
    return map ? map.value() : model::shard_map{};
}

std::string decode_search_error(std::string_view body) {
    return kernel::handle<wire_error>(
        [&]() -> kernel::result<std::string> {
            BOOST_LEAF_CHECK(decode_search(body, one_service_map(), generated, start));
            return std::string{"accepted"};
        },
        [](const wire_error& error) { return error.field + " " + error.message; });
}

TEST_CASE("malformed searches are refused with the invalid field") {
    CHECK(decode_search_error("{").find("not valid JSON") != std::string::npos);
    CHECK(decode_search_error("[]") == " is not a JSON object");
    CHECK(decode_search_error(R"({"query":"x"})") == "searcher is missing");
    CHECK(decode_search_error(
              R"({"searcher":"m","services":["none"],"query":"x","deadline_ms":5})") ==
          "services service none does not exist");
    CHECK(
        decode_search_error(R"({"searcher":"m","group":"history","query":"x","deadline_ms":-5})") ==
        "deadline_ms must be an integer from 1 to 60000");
    CHECK(decode_search_error(R"({"searcher":"m","group":"history","query":"x"})") ==
          "deadline_ms is missing");
    CHECK(decode_search_error(
              R"({"searcher":"m","group":"history","query":"x","deadline_ms":50})") == "accepted");
}

TEST_CASE("an attempt and its reply are the same after decoding") {
    const model::shard_attempt attempt{
        generated,
        3,
        model::searcher_id::trusted("m"),
        {model::service_id::trusted("lots"), model::shard_id::trusted("0")},
        model::server_id::trusted("a"),
        {{4}, {5}},
        "lot:1",
        start + std::chrono::milliseconds{70}};
    const auto decoded = decode_attempt(encode_attempt(attempt, start), start);
    REQUIRE(decoded);
    CHECK(decoded.value() == attempt);

    model::attempt_reply reply{generated,
                               3,
                               attempt.searcher,
                               attempt.shard,
                               attempt.server,
                               model::attempt_status::ok,
                               {5},
                               {{"k", "b"}},
                               model::version_range{{4}, {6}},
                               0.5};
    const auto decoded_reply = decode_attempt_reply(encode_attempt_reply(reply));
    REQUIRE(decoded_reply);
    CHECK(decoded_reply.value() == reply);
}

}  // namespace
}  // namespace poplarfront::wire
