#include <catch2/catch.hpp>

#include "configuration/leaving_section.h"
#include "configuration/policy_section.h"
#include "configuration/section_schema.h"
#include "configuration/shares_section.h"

namespace poplarfront::configuration {
namespace {

const std::string shards_text =
    "[server a]\naddress = 127.0.0.1:1\nslots = 2\n"
    "[service service-a]\nshard.0 = a\n";

/// The error of check_sections for `changed`, or "accepted".
std::string check_result(const section_texts& all, std::string_view changed) {
    return kernel::handle<section_error>(
        [&]() -> kernel::result<std::string> {
            BOOST_LEAF_CHECK(check_sections(all, changed));
            return std::string{"accepted"};
        },
        [](const section_error& error) { return to_string(error); });
}

TEST_CASE("each section refuses an invalid entry with its line, key and reason") {
    CHECK(check_result({{"policy", "[retry]\n\nsteady_percent = 101\n"}}, "policy") ==
          "policy:3: steady_percent: must be an integer from 0 to 100");
    CHECK(check_result({{"policy", "[ownership]\nmode = shared\n"}}, "policy") ==
          "policy:2: mode: must be direct or owned");
    CHECK(check_result({{"shares", "[searcher m]\nweight = 0\n"}}, "shares") ==
          "shares:2: weight: must be an integer from 1 to 1000");
    CHECK(check_result({{"leaving", "[instances]\ni-1 = maybe\n"}}, "leaving") ==
          "leaving:2: i-1: the only value is \"leaving\"");
    CHECK(check_result({{"shards", "[server a]\naddress = x\nslots = -1\n"}}, "shards") ==
          "shards:3: slots: must be an integer from 1 to 100000");
    CHECK(check_result({{"shards", "[service service-a]\nshard.0 = none\n"}}, "shards")
              .find("none") != std::string::npos);
    CHECK(check_result({}, "colours") == "colours: no section has this name");
}

TEST_CASE("a syntax error, a repeated key and an overlong header are refused, not ignored") {
    CHECK(check_result({{"policy", "[retry\n"}}, "policy").starts_with("policy:1: "));
    CHECK(check_result({{"leaving", "[instances]\na = leaving\na = leaving\n"}}, "leaving") ==
          "leaving:3: a: given twice under [instances]");
    const std::string header = "[searcher " + std::string(60, 'm') + "]\nweight = 1\n";
    CHECK(check_result({{"shares", header}}, "shares").find("shorter than") != std::string::npos);
}

TEST_CASE("an inconsistency between two valid sections is refused with both names") {
    section_texts all{{"shards", shards_text}, {"shares", "[searcher m]\nweight.service-b = 2\n"}};
    CHECK(check_result(all, "shares") ==
          "shares: section shares gives searcher m a share of service service-b, which section "
          "shards does not have");
    all["shares"] = "[searcher m]\nweight.service-a = 2\n";
    CHECK(check_result(all, "shares") == "accepted");
    all["shards"] = "[server a]\naddress = 127.0.0.1:1\n[service service-b]\nshard.0 = a\n";
    CHECK(check_result(all, "shards").find("section shards does not have") != std::string::npos);

    all = {{"shards", shards_text}, {"policy", "[ownership]\nowners_per_group = 3\n"}};
    CHECK(check_result(all, "policy") == "accepted");
    all["policy"] += "mode = owned\n";
    CHECK(check_result(all, "policy") ==
          "policy: owners_per_group: section policy has 3 owners per group, but section shards "
          "gives backend server a only 2 slots");
}

TEST_CASE("a service's share inherits unset values of the searcher, in any order of the keys") {
    const auto parsed = parse_shares("[searcher m]\nburst.service-a = 7\nweight = 3\n");
    REQUIRE(parsed);
    const auto searcher = model::searcher_id::trusted("m");
    const auto* service_share =
        parsed->find_service_share(searcher, model::service_id::trusted("service-a"));
    REQUIRE(service_share != nullptr);
    CHECK(*service_share == share{3, 0, 7});
    CHECK(parsed->total(searcher) == share{3, 0, 100});
    CHECK(parsed->total(model::searcher_id::trusted("other")) == share{});
}

TEST_CASE("empty sections give the defaults") {
    REQUIRE(parse_policy(""));
    CHECK(parse_policy("").value() == policy{});
    CHECK(parse_leaving("").value() == leaving{});
}

}  // namespace
}  // namespace poplarfront::configuration
