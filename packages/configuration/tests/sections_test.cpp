#include <catch2/catch.hpp>

#include "configuration/leaving_section.h"
#include "configuration/policy_section.h"
#include "configuration/section_schema.h"
#include "configuration/shares_section.h"

namespace poplarfront::configuration {
namespace {

const std::string shards_text =
    "[server a]\naddress = 127.0.0.1:1\nslots = 2\n"
    "[service lots]\nshard.0 = a\n";

/// What check_sections says of `changed`, or "accepted".
std::string verdict(const section_texts& all, std::string_view changed) {
    return kernel::handle<section_error>(
        [&]() -> kernel::result<std::string> {
            BOOST_LEAF_CHECK(check_sections(all, changed));
            return std::string{"accepted"};
        },
        [](const section_error& error) { return to_string(error); });
}

TEST_CASE("each section refuses a bad entry with its line, key and reason") {
    CHECK(verdict({{"policy", "[retry]\n\nsteady_percent = 101\n"}}, "policy") ==
          "policy:3: steady_percent: must be an integer from 0 to 100");
    CHECK(verdict({{"policy", "[ownership]\nmode = shared\n"}}, "policy") ==
          "policy:2: mode: must be direct or owned");
    CHECK(verdict({{"shares", "[searcher m]\nweight = 0\n"}}, "shares") ==
          "shares:2: weight: must be an integer from 1 to 1000");
    CHECK(verdict({{"leaving", "[instances]\ni-1 = maybe\n"}}, "leaving") ==
          "leaving:2: i-1: the only value is \"leaving\"");
    CHECK(verdict({{"shards", "[server a]\naddress = x\nslots = -1\n"}}, "shards") ==
          "shards:3: slots: must be an integer from 1 to 100000");
    CHECK(verdict({{"shards", "[service lots]\nshard.0 = none\n"}}, "shards").find("none") !=
          std::string::npos);
    CHECK(verdict({}, "colours") == "colours: no section has this name");
}

TEST_CASE("a syntax error, a repeated key and an overlong header are refused, not ignored") {
    CHECK(verdict({{"policy", "[retry\n"}}, "policy").starts_with("policy:1: "));
    CHECK(verdict({{"leaving", "[instances]\na = leaving\na = leaving\n"}}, "leaving") ==
          "leaving:3: a: given twice under [instances]");
    const std::string header = "[searcher " + std::string(60, 'm') + "]\nweight = 1\n";
    CHECK(verdict({{"shares", header}}, "shares").find("shorter than") != std::string::npos);
}

TEST_CASE("sections that are valid by themselves but incompatible are refused with both names") {
    section_texts all{{"shards", shards_text}, {"shares", "[searcher m]\nweight.pole = 2\n"}};
    CHECK(verdict(all, "shares") ==
          "shares: section shares gives searcher m a share of service pole, which section shards "
          "does not have");
    all["shares"] = "[searcher m]\nweight.lots = 2\n";
    CHECK(verdict(all, "shares") == "accepted");
    all["shards"] = "[server a]\naddress = 127.0.0.1:1\n[service pole]\nshard.0 = a\n";
    CHECK(verdict(all, "shards").find("section shards does not have") != std::string::npos);

    all = {{"shards", shards_text}, {"policy", "[ownership]\nowners_per_group = 3\n"}};
    CHECK(verdict(all, "policy") == "accepted");
    all["policy"] += "mode = owned\n";
    CHECK(verdict(all, "policy") ==
          "policy: owners_per_group: section policy has 3 owners per group, but section shards "
          "gives backend server a only 2 slots");
}

TEST_CASE("a service's share starts from the searcher's, whatever the order of the keys") {
    const auto parsed = parse_shares("[searcher m]\nburst.lots = 7\nweight = 3\n");
    REQUIRE(parsed);
    const auto searcher = model::searcher_id::trusted("m");
    const auto* lots = parsed->find_service_share(searcher, model::service_id::trusted("lots"));
    REQUIRE(lots != nullptr);
    CHECK(*lots == share{3, 0, 7});
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
