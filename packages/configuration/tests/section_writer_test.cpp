#include "configuration/section_writer.h"

#include <catch2/catch.hpp>

#include "virtual_time.h"
#include "wire/configuration_codec.h"

namespace poplarfront::configuration {
namespace {

using std::chrono::seconds;
using writer =
    section_writer<testing::fake_store, wire::configuration_store_codec, testing::virtual_time>;

struct fixture {
    testing::virtual_time time{1};
    testing::fake_store store{time};
    model::deployment_id deployment = model::deployment_id::trusted("d");
    int writes = 0;

    section_write request(std::string section, std::string text) {
        return {std::move(section), std::move(text), std::nullopt, "n" + std::to_string(++writes),
                time.now() + seconds{5}};
    }
    write_result write(const section_write& request) {
        write_result result;
        time.spawn([this, request, &result] {
            writer writer{store, {}, time, deployment};
            result = writer.write(request);
        });
        time.run_until(time.now() + seconds{10});
        return result;
    }
    head stored_head() { return wire::decode_head(store.values[head_key].bytes).value(); }
};

TEST_CASE("a write is accepted, an equal text changes nothing, an old base revision conflicts") {
    fixture test;
    const auto first = test.write(test.request("policy", "[canary]\nwidth = 9\n"));
    CHECK(first.status == write_status::accepted);
    CHECK(first.revision.value == 1);
    CHECK(first.accepted_head == test.stored_head());
    CHECK(test.write(test.request("policy", "[canary]\n width=9\n")).revision.value == 1);

    auto stale = test.request("policy", "[canary]\nwidth = 10\n");
    stale.expected = model::revision{0};
    const auto conflict = test.write(stale);
    CHECK(conflict.status == write_status::conflict);
    CHECK(conflict.revision.value == 1);
    CHECK(test.stored_head().document_revision.value == 1);
}

TEST_CASE("a write that is inconsistent with an accepted section is refused") {
    fixture test;
    const std::string shards = "[server a]\naddress=x\n[service service-a]\nshard.0 = a\n";
    REQUIRE(test.write(test.request("shards", shards)).status == write_status::accepted);
    const auto refused = test.write(test.request("shares", "[searcher m]\nweight.service-b = 1\n"));
    CHECK(refused.status == write_status::refused);
    CHECK(refused.reason.find("shards") != std::string::npos);
    CHECK(refused.reason.find("shares") != std::string::npos);
    CHECK(test.stored_head().document_revision.value == 1);
}

TEST_CASE("a concurrent write of another section is kept, one of the same section conflicts") {
    fixture test;
    write_result first;
    write_result other;
    write_result same;
    test.time.spawn([&] {
        writer writer{test.store, {}, test.time, test.deployment};
        first = writer.write(test.request("policy", "[canary]\nwidth = 9\n"));
    });
    test.time.spawn([&] {
        writer writer{test.store, {}, test.time, test.deployment};
        other = writer.write(test.request("leaving", "[instances]\na = leaving\n"));
    });
    test.time.spawn([&] {
        writer writer{test.store, {}, test.time, test.deployment};
        same = writer.write(test.request("policy", "[canary]\nwidth = 10\n"));
    });
    test.time.run_until(test.time.now() + seconds{20});
    CHECK(other.status == write_status::accepted);
    CHECK((first.status == write_status::accepted) != (same.status == write_status::accepted));
    CHECK((first.status == write_status::conflict) != (same.status == write_status::conflict));
    CHECK(test.stored_head().document_revision.value == 2);
}

TEST_CASE("a write is refused if the store is down, and accepted or unknown if replies are lost") {
    fixture test;
    test.store.down = true;
    CHECK(test.write(test.request("policy", "")).status == write_status::refused);

    test.store.down = false;
    test.store.reply_loss_probability = 0.5;
    const auto lossy = test.write(test.request("policy", "[canary]\nwidth = 9\n"));
    const bool in_store = test.stored_head().document_revision.value == 1;
    CHECK((lossy.status == write_status::accepted || lossy.status == write_status::unknown));
    CHECK(in_store);

    // The store accepts the head and sends no reply from then on.
    test.store.reply_loss_probability = 0;
    test.store.on_write = [&](const std::string& key) {
        if (key == head_key) {
            test.store.reply_loss_probability = 1;
        }
    };
    const auto unknown = test.write(test.request("policy", "[canary]\nwidth = 11\n"));
    CHECK(unknown.status == write_status::unknown);
    CHECK(test.stored_head().document_revision.value == 2);
}

TEST_CASE("a head of another deployment is not overwritten") {
    fixture test;
    REQUIRE(test.write(test.request("policy", "[canary]\nwidth = 9\n")).status ==
            write_status::accepted);
    test.deployment = model::deployment_id::trusted("other");
    const auto refused = test.write(test.request("policy", ""));
    CHECK(refused.status == write_status::refused);
    CHECK(refused.reason.find("deployment d") != std::string::npos);
}

TEST_CASE("a section larger than a store value is split and can be read again") {
    fixture test;
    std::string text = "[instances]\n";
    for (int n = 0; n < 80'000; ++n) {
        text += "instance-" + std::to_string(n) + " = leaving\n";
    }
    const auto result = test.write(test.request("leaving", text));
    REQUIRE(result.status == write_status::accepted);
    CHECK(result.accepted_head.section("leaving").blob_keys.size() == 2);
    CHECK(result.accepted_head.recent_changes.empty());
    CHECK(test.write(test.request("policy", "")).status == write_status::accepted);
}

}  // namespace
}  // namespace poplarfront::configuration
