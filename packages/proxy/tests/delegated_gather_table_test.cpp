#include "proxy/delegated_gather_table.h"

#include <catch2/catch.hpp>
#include <set>

namespace poplarfront::proxy {
namespace {

/// A table as a process creates it at its start. Nothing is sent, since its link is not started.
delegated_gather_table table_of_new_process(std::uint64_t thread_index = 0,
                                            std::uint64_t thread_count = 1) {
    return {
        std::make_shared<daemon::peer_link>(std::make_shared<const daemon::instance_identity>()),
        "127.0.0.1:1", thread_index, thread_count};
}

// Guards against an instance that answers a client with a gather of its earlier process, to which a
// delegate still reports after a restart (review case 2).
TEST_CASE("a report on a gather of an earlier process reaches no gather of the new one") {
    auto earlier = table_of_new_process();
    auto restarted = table_of_new_process();
    constexpr int gathers = 100;
    std::set<std::uint64_t> earlier_numbers;
    int reports = 0;
    for (int n = 0; n < gathers; ++n) {
        earlier_numbers.insert(earlier.send("127.0.0.1:2", {}, [](const auto&) {}));
        restarted.send("127.0.0.1:2", {}, [&](const auto&) { ++reports; });
    }
    for (const auto number : earlier_numbers) {
        gateway::gather_report report;
        report.number = number;
        restarted.on_report(report);
    }
    CHECK(earlier_numbers.size() == gathers);
    CHECK(reports == 0);
}

// Guards against an entry that stays for each gather that a delegate has refused or answered.
TEST_CASE("a gather is removed with its last report") {
    using gather_status = gateway::gather_report::gather_status;
    const auto [status, is_last] =
        GENERATE(table<gather_status, bool>({{gather_status::in_progress, false},
                                             {gather_status::refused, true},
                                             {gather_status::answered, true}}));
    auto table = table_of_new_process();
    int reports = 0;
    gateway::gather_report report;
    report.number = table.send("127.0.0.1:2", {}, [&](const auto&) { ++reports; });
    report.status = status;
    table.on_report(report);
    CHECK(reports == 1);
    CHECK(table.size() == (is_last ? 0 : 1));
}

TEST_CASE("the number of a gather identifies the traffic thread that has delegated it") {
    constexpr std::uint64_t thread_count = 3;
    for (std::uint64_t index = 0; index < thread_count; ++index) {
        auto table = table_of_new_process(index, thread_count);
        for (int n = 0; n < 2; ++n) {
            CHECK(table.send("127.0.0.1:2", {}, [](const auto&) {}) % thread_count == index);
        }
    }
}

}  // namespace
}  // namespace poplarfront::proxy
