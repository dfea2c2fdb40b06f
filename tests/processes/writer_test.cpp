#include <catch2/catch.hpp>

#include "processes/tier.h"

using namespace poplarfront::process_tests;

namespace {

constexpr auto writer_limit = seconds{10};
constexpr int accepted = 0;
constexpr int conflict = 2;

}  // namespace

// Guards against one of two writers silently undoing the other.
TEST_CASE("Of two writers that race on a section one gets a conflict", "[writer]") {
    tier tier{{.instances = 1, .shards = 1}};
    const auto text = tier.policy_section();
    const auto one = tier.write_file("one.ini", text + "\n[canary]\nwidth = 3\n");
    const auto two = tier.write_file("two.ini", text + "\n[canary]\nwidth = 4\n");
    tier.set_store_fault(R"({"delay_ms": 100})");
    const std::vector<std::string> head{"--expect-revision", "2", "write", "policy"};
    auto arguments = head;
    arguments.push_back(one.string());
    const auto first = tier.start_poplarctl(arguments);
    arguments.back() = two.string();
    const auto second = tier.start_poplarctl(arguments);
    const auto first_code = first->wait(writer_limit);
    const auto second_code = second->wait(writer_limit);
    INFO("first " << first->output() << "second " << second->output());
    CHECK((first_code == accepted) != (second_code == accepted));
    CHECK((first_code == conflict) != (second_code == conflict));
    const auto& loser = first_code == conflict ? first : second;
    CHECK(loser->output().find("it is at revision 3") != std::string::npos);
    CHECK(eventually(seconds{5}, [&] { return tier.revision(0) == 3; }));
}

// Guards against a write that took effect being reported as failed, or being made twice.
TEST_CASE("A lost reply of the store to a writer is settled", "[writer]") {
    tier tier{{.instances = 1, .shards = 1}};
    const auto text = tier.policy_section() + "\n[canary]\nwidth = 3\n";
    tier.set_store_fault(R"({"lose_write_replies": 2})");
    const auto written = tier.publish("policy", text);
    INFO(written.output);
    CHECK(written.code == accepted);
    CHECK(tier.revision(0) == 3);
}
