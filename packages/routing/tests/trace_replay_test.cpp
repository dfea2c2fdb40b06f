#include <catch2/catch.hpp>
#include <fstream>
#include <sstream>

#include "routing/tests/fixture.h"

namespace poplarfront::routing {
namespace {

using std::chrono::milliseconds;
using namespace std::chrono_literals;

/// Two groups of two shards with three owners; the pin can be changed while a trace runs.
struct trace_planner {
    model::pinned_snapshot snapshot{{1}, {7}};

    [[nodiscard]] query_plan plan(const model::search_request&) const {
        return {snapshot,
                {{{shard(0), shard(1)}, {instance(0), instance(1)}},
                 {{shard(2), shard(3)}, {instance(1), instance(2)}}}};
    }
};

/// Replays one trace, a line an event, and checks the outcomes that it states:
/// `start`, `at MS` (since the start), `pin VERSION`, `lost OWNER`,
/// `result BATCH ok|version_unavailable|other_version`, `expect batches N`, `expect open`,
/// `expect answer complete|incomplete version V records N`.
class trace_replay {
public:
    void run(std::istream& trace) {
        std::string line;
        while (std::getline(trace, line)) {
            INFO(line);
            std::istringstream words{line};
            std::string event;
            if (words >> event && event.front() != '#') {
                step(event, words);
            }
        }
    }

private:
    void step(const std::string& event, std::istream& words) {
        if (event == "start") {
            tested_.start();
        } else if (event == "at") {
            advance_to(start_ + milliseconds{number(words)});
        } else if (event == "pin") {
            planner_.snapshot.version = {number(words)};
        } else if (event == "lost") {
            tested_.on_owner_lost(instance(static_cast<int>(number(words))));
        } else if (event == "result") {
            result(words);
        } else {
            REQUIRE(event == "expect");
            expect(words);
        }
    }

    void advance_to(kernel::time_point end) {
        while (!tested_.answer() && tested_.next_timer() <= end) {
            clock_.set(std::max(clock_.now(), tested_.next_timer()));
            tested_.on_timer();
        }
        clock_.set(std::max(clock_.now(), end));
    }

    void result(std::istream& words) {
        const auto& batch = transport_.batches.at(number(words)).second;
        auto result = result_of(batch);
        const auto kind = word(words);
        if (kind == "version_unavailable") {
            result.shards.front() = {result.shards.front().shard,
                                     model::missing_reason::version_unavailable};
        } else if (kind == "other_version") {
            for (auto& it : result.shards) {
                it.version = it.version.next();
            }
        } else {
            REQUIRE(kind == "ok");
        }
        tested_.on_result(result);
    }

    void expect(std::istream& words) {
        const auto what = word(words);
        if (what == "batches") {
            CHECK(transport_.batches.size() == number(words));
        } else if (what == "open") {
            CHECK_FALSE(tested_.answer());
        } else {
            REQUIRE(what == "answer");
            REQUIRE(tested_.answer());
            CHECK(tested_.answer()->complete() == (word(words) == "complete"));
            REQUIRE(word(words) == "version");
            CHECK(tested_.answer()->snapshot.version.value == number(words));
            REQUIRE(word(words) == "records");
            CHECK(tested_.answer()->records.size() == number(words));
        }
    }

    static std::string word(std::istream& words) {
        std::string text;
        words >> text;
        return text;
    }

    static std::uint64_t number(std::istream& words) {
        std::uint64_t n = 0;
        words >> n;
        REQUIRE(words);
        return n;
    }

    kernel::manual_clock clock_;
    kernel::time_point start_ = clock_.now();
    recording_transport transport_;
    seeded_routing_state shared_;
    trace_planner planner_;
    query_session<kernel::manual_clock, recording_transport, trace_planner> tested_{
        clock_,
        transport_,
        shared_.context(),
        planner_,
        {model::request_id::trusted("r"),
         model::searcher_id::trusted("mill"),
         {model::service_id::trusted("s")},
         "query",
         clock_.now() + 500ms}};
};

TEST_CASE("recorded traces of searches end in the outcomes that they state") {
    for (const auto* name : {"late_results_after_restart", "lost_owner", "duplicated_and_reordered",
                             "deadline", "mixed_version"}) {
        INFO("trace " << name);
        std::ifstream trace{std::string{POPLARFRONT_TRACES} + "/" + name + ".trace"};
        REQUIRE(trace);
        trace_replay().run(trace);
    }
}

}  // namespace
}  // namespace poplarfront::routing
