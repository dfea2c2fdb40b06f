#include "configuration/distributor.h"

#include <catch2/catch.hpp>
#include <fstream>
#include <iostream>

#include "fake_cluster.h"

namespace poplarfront::configuration {
namespace {

using testing::fake_cluster;
using testing::milliseconds;
using testing::seconds;

/// The head and text after a change of the leaving section of `count` entries.
std::pair<head, std::string> accept_leaving(const head& before, const std::string& old_text,
                                            int count) {
    std::string text = "[instances]\n";
    for (int n = 0; n < count; ++n) {
        text += "i-" + std::to_string(n) + "=leaving\n";
    }
    const auto from = section_document::parse("leaving", old_text).value();
    const auto to = section_document::parse("leaving", text).value();
    return {before.accept("leaving", {{}, {}, digest_of(to.text()), "n"}, difference(from, to)),
            to.text()};
}

head empty_head(const std::string& deployment = "d") {
    return {model::deployment_id::trusted(deployment), {}, {}, {}, {}};
}

TEST_CASE("an instance takes only newer heads of its own deployment with matching digests") {
    active_configuration active{model::deployment_id::trusted("d")};
    const auto [first, text] = accept_leaving(empty_head(), "", 3);
    const auto [second, next_text] = accept_leaving(first, text, 4);
    CHECK(active.apply(accept_leaving(empty_head("other"), "", 3).first).status ==
          apply_status::refused);
    CHECK(active.apply(second).status == apply_status::applied);
    CHECK(active.snapshot()->leaving.instances.size() == 4);
    CHECK(active.apply(first).status == apply_status::stale);
    CHECK(active.snapshot()->revision.value == 2);

    auto third = accept_leaving(second, next_text, 5).first;
    third.sections["leaving"].digest += 1;
    const auto outcome = active.apply(third, {{"leaving", text}});
    CHECK(outcome.status == apply_status::needs_sections);
    CHECK(outcome.missing == std::vector<std::string>{"leaving"});
    CHECK(active.revision().value == 2);
}

TEST_CASE("an instance too old for the deltas gets the whole section from a peer") {
    fake_cluster cluster{{.instances = 3, .data_centres = 3, .lost_messages = 0}};
    cluster.store.down = true;
    auto [accepted, text] = accept_leaving(empty_head(), "", 14'000);
    REQUIRE(accepted.recent.empty());
    cluster.history.push_back({accepted, cluster.time.now(), std::nullopt});
    cluster.nodes[0]->logic.on_announcement(accepted, {{"leaving", text}});
    cluster.time.run_until(cluster.time.now() + seconds{3});
    for (const auto& it : cluster.nodes) {
        CHECK(it->active.section_text("leaving") == text);
    }
    CHECK(cluster.violations.empty());
}

TEST_CASE("three instances of a data centre watch, and another one takes over from a lost one") {
    fake_cluster cluster{{.instances = 40, .data_centres = 4}};
    const auto relays = [&] {
        return std::count_if(cluster.nodes.begin(), cluster.nodes.end(), [](const auto& it) {
            return it->state == fake_cluster::condition::running && it->watching;
        });
    };
    CHECK(relays() == 12);
    for (auto& it : cluster.nodes) {
        if (it->watching) {
            cluster.change_state(*it, fake_cluster::condition::dead);
            break;
        }
    }
    CHECK(relays() == 11);
    cluster.update_members();
    CHECK(relays() == 12);
}

/// Prints time to force and traffic of `changes` changes of one entry each on `instances`.
void measure(std::size_t instances, int changes) {
    fake_cluster cluster{{.instances = instances,
                          .data_centres = instances > 100 ? 12U : 4U,
                          .lost_messages = 0.001,
                          .slow_messages = 0.001}};
    cluster.time.run_until(cluster.time.now() + seconds{3});
    cluster.counts_bytes = true;
    constexpr seconds idle{10};
    cluster.time.run_until(cluster.time.now() + idle);
    const auto idle_per_second =
        static_cast<double>(cluster.bytes_sent) / static_cast<double>(idle.count());
    cluster.bytes_sent = 0;

    head current = empty_head();
    std::string text;
    std::vector<double> delays;
    std::uint64_t bytes = 0;
    for (int n = 0; n < changes; ++n) {
        auto [next, next_text] = accept_leaving(current, text, 1 + n);
        current = next;
        text = next_text;
        const auto start = cluster.time.now();
        cluster.store.values[head_key] = {wire::encode_head(current),
                                          current.document_revision.value};
        cluster.bytes_sent = 0;
        cluster.store.on_write(head_key);
        constexpr seconds period{6};
        cluster.time.run_until(start + period);
        const auto idle_bytes =
            static_cast<std::uint64_t>(idle_per_second * static_cast<double>(period.count()));
        bytes += cluster.bytes_sent - std::min(cluster.bytes_sent, idle_bytes);
        for (const auto& it : cluster.nodes) {
            const auto reached = it->applied_at.lower_bound(current.document_revision.value);
            REQUIRE(reached != it->applied_at.end());
            delays.push_back(
                std::chrono::duration<double, std::milli>(reached->second - start).count());
        }
    }
    std::sort(delays.begin(), delays.end());
    const auto at = [&](double part) {
        return delays[static_cast<std::size_t>(part * static_cast<double>(delays.size() - 1))];
    };
    constexpr double median = 0.5;
    constexpr double tail = 0.999;
    const auto per_instance = static_cast<double>(instances);
    std::cout << instances << " instances, " << changes << " changes: p50 " << at(median)
              << " ms, p99.9 " << at(tail) << " ms, max " << delays.back() << " ms, "
              << static_cast<double>(bytes) / changes / per_instance
              << " bytes sent per instance per change, " << idle_per_second / per_instance
              << " bytes/s per instance idle\n";
}

TEST_CASE("time to force and bytes per change", "[.measure]") {
    measure(17, 100);
    measure(300, 40);
    measure(3'000, 5);
}

/// Resident memory of this process in MB. Memory that earlier tests freed hides what is used, so
/// the test that reads it has a tag of its own.
double resident_mb() {
    std::ifstream file{"/proc/self/statm"};
    std::uint64_t total = 0;
    std::uint64_t resident = 0;
    file >> total >> resident;
    constexpr double pages_per_mb = 256;
    return static_cast<double>(resident) / pages_per_mb;
}

TEST_CASE("time and memory to apply a change of one entry to 16,000 backend servers",
          "[.measure-memory]") {
    constexpr int servers = 16'000;
    std::string text;
    for (int n = 0; n < servers; ++n) {
        text += "[server s-" + std::to_string(n) + "]\naddress=10.0." + std::to_string(n / 250) +
                "." + std::to_string(n % 250) + ":9000\ndata_centre=dc-" + std::to_string(n % 12) +
                "\n";
    }
    for (int n = 0; n < servers / 2; ++n) {
        text += (n % 280 == 0 ? "[service v-" + std::to_string(n / 280) + "]\n" : "") + "shard." +
                std::to_string(n % 280) + "=s-" + std::to_string(2 * n) + " s-" +
                std::to_string(2 * n + 1) + "\n";
    }
    const auto before = section_document::parse("shards", text).value();
    const auto after = apply(before, {{{{"server s-0", "slots"}, "4"}}});
    const auto empty = empty_head();
    const auto first =
        empty.accept("shards", {{}, {}, digest_of(before.text()), "a"}, {}).update_since({1});
    const auto second =
        empty.accept("shards", {{}, {}, digest_of(before.text()), "a"}, {})
            .accept("shards", {{}, {}, digest_of(after.text()), "b"}, difference(before, after))
            .update_since({1});
    const auto start_mb = resident_mb();
    active_configuration active{model::deployment_id::trusted("d")};
    REQUIRE(active.apply(first, {{"shards", before.text()}}).status == apply_status::applied);
    const auto held_mb = resident_mb();
    const auto start = std::chrono::steady_clock::now();
    REQUIRE(active.apply(second).status == apply_status::applied);
    const std::chrono::duration<double, std::milli> taken =
        std::chrono::steady_clock::now() - start;
    std::cout << servers << " backend servers, " << text.size()
              << " bytes of text: " << taken.count() << " ms for a change, " << held_mb - start_mb
              << " MB resident after the first head, " << resident_mb() - start_mb
              << " MB after the change\n";
}

}  // namespace
}  // namespace poplarfront::configuration
