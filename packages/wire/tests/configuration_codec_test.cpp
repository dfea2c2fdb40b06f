#include <catch2/catch.hpp>

#include "wire/configuration_codec.h"
#include "wire/instance_list.h"

namespace poplarfront::wire {
namespace {

configuration::head sample_head() {
    return configuration::head{model::deployment_id::trusted("d"), {}, {}, {}, {}}
        .accept("shards", {{}, {"config/shards/1-a"}, 5, "a"}, {{{{"h", "k"}, "v"}}})
        .accept("policy", {{}, {"config/policy/2-b"}, 6, "b"}, {{{{"h", "k"}, std::nullopt}}});
}

TEST_CASE("a head, a blob and a delta survive encoding, also erased and empty values") {
    const auto head = sample_head();
    REQUIRE(decode_head(encode_head(head)));
    CHECK(decode_head(encode_head(head)).value() == head);

    const configuration::section_blob blob{head.deployment, "shards", "n", 1, 2, "[a]\nb=c\n"};
    CHECK(decode_blob(encode_blob(blob)).value() == blob);

    const configuration::delta delta{{{{"h", "erased"}, std::nullopt}, {{"h", "empty"}, ""}}};
    CHECK(decode_delta(encode_delta(delta)).value() == delta);
}

TEST_CASE("an announcement and a status survive encoding and malformed ones are refused") {
    const configuration::announcement announced{sample_head(), {{"shards", "[h]\nk=v\n"}}};
    CHECK(decode_announcement(encode_announcement(announced)).value() == announced);
    CHECK_FALSE(decode_announcement("x"));

    const configuration::configuration_status status{
        model::instance_id::trusted("i-1"), {9}, {{"shards", {7}}, {"policy", {9}}}};
    CHECK(decode_status(encode_status(status)).value() == status);
    CHECK_FALSE(decode_status(R"({"instance":"i-1","revision":-1,"sections":{}})"));
    CHECK_FALSE(decode_status(R"({"instance":"i-1","revision":1,"sections":{"shards":"x"}})"));
    CHECK_FALSE(decode_status(R"({"instance":"i-1","revision":1})"));
}

TEST_CASE("a malformed entry of the instance list does not hide the others") {
    const auto addresses = decode_operator_addresses(
        R"({"instances":[{"operator_address":"a:1"},7,{"operator_address":7},{},)"
        R"({"instance":"i","operator_address":"b:1"}]})");
    REQUIRE(addresses);
    CHECK(addresses.value() == std::vector<std::string>{"a:1", "b:1"});
    CHECK_FALSE(decode_operator_addresses("{}"));
}

TEST_CASE("truncated and inconsistent bytes are refused") {
    const auto bytes = encode_head(sample_head());
    CHECK_FALSE(decode_head(bytes.substr(0, bytes.size() - 1)));
    CHECK_FALSE(decode_head(""));
    auto head = sample_head();
    head.document_revision = {1};
    CHECK_FALSE(decode_head(encode_head(head)));
    CHECK_FALSE(decode_blob(encode_blob({head.deployment, "shards", "n", 2, 2, ""})));
}

}  // namespace
}  // namespace poplarfront::wire
