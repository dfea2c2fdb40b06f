#include "gateway/backend_notices.h"

#include <catch2/catch.hpp>
#include <map>
#include <set>

#include "fixture.h"

namespace poplarfront::gateway {
namespace {

using std::chrono::seconds;

attempt_result leaving(attempt_result result) {
    result.reply.leaving = true;
    return result;
}

attempt_result refused_for(kernel::duration pause) {
    auto result = reply_with_status(503, false);
    result.reply.retry_after = pause;
    return result;
}

/// Sends requests at given times, which all backend servers answer as `reply_of` says.
class request_series {
public:
    explicit request_series(fleet fleet) : fleet_(std::move(fleet)) {}

    /// Returns the servers that got the request, and keeps its answer in `answers`.
    template <class ReplyOf>
    std::vector<std::string> send(const route& wanted, kernel::time_point now,
                                  const ReplyOf& reply_of) {
        fake_transport transport;
        auto repeated = request();
        repeated.received = now;
        repeated.fingerprint = ++fingerprint_;
        session sent{state_, transport, fleet_.published(), wanted, repeated};
        sent.start(now);
        std::vector<std::string> servers;
        do {
            while (servers.size() < transport.sent.size()) {
                const auto attempt = transport.sent[servers.size()];
                servers.push_back(attempt.server);
                sent.on_result(attempt.attempt, reply_of(attempt), now + milliseconds{5});
                end_probes(sent, transport, false, now + milliseconds{5});
            }
            if (sent.next_timer()) {
                sent.on_timer(*sent.next_timer());
            }
        } while (sent.next_timer() || servers.size() < transport.sent.size());
        answers.insert(answers.end(), transport.answers.begin(), transport.answers.end());
        return servers;
    }

    fleet& servers() { return fleet_; }
    traffic_state& state() { return state_; }

    std::vector<gateway_answer> answers;

private:
    fleet fleet_;
    traffic_state state_{test_options(), 1};
    std::uint64_t fingerprint_ = 0;
};

// Guards against requests to a backend server that has announced in a reply that it leaves, while
// the store still lists it as ready.
TEST_CASE("a backend server that announces that it leaves gets no further requests") {
    const bool gather = GENERATE(false, true);
    const bool failure = GENERATE(false, true);
    request_series series{fleet{4, 2}};
    const auto wanted = gather ? series.servers().gather : series.servers().single;
    const std::string left = "s0-0";
    auto now = start_time;
    bool announced = false;
    for (int n = 0; n < 400; ++n, now += milliseconds{200}) {
        const auto servers = series.send(wanted, now, [&](const auto& sent) {
            if (sent.server != left) {
                return n % 7 == 0 ? ended(attempt_end::lost) : success(sent.server);
            }
            CHECK_FALSE(announced);
            announced = true;
            return leaving(failure ? reply_with_status(503, false) : success(sent.server));
        });
        CHECK(!servers.empty());
    }
    CHECK(announced);
}

// Guards against a new process that is excluded because of the announcement of an earlier one.
TEST_CASE("a successor under the same id is not affected by the announcement") {
    request_series series{fleet{1, 1}};
    const auto single = series.servers().single;
    series.send(single, start_time, [](const auto& sent) { return leaving(success(sent.server)); });
    CHECK(series
              .send(single, start_time + seconds{1},
                    [](const auto& sent) { return success(sent.server); })
              .empty());
    auto& entry = series.servers().view.backends.begin()->second.front();
    auto restarted = *entry;
    restarted.started_ms = entry->started_ms + 1;
    entry = std::make_shared<const backend_entry>(restarted);
    CHECK(series
              .send(single, start_time + seconds{2},
                    [](const auto& sent) { return success(sent.server); })
              .size() == 1);
    CHECK(series.answers.back().kind == answer_kind::passed_on);
}

// Guards against requests, hedges and retries to a backend server that has asked for none.
TEST_CASE("a backend server gets no request during the pause that it has announced") {
    const bool gather = GENERATE(false, true);
    request_series series{fleet{4, 2}};
    const auto wanted = gather ? series.servers().gather : series.servers().single;
    constexpr seconds pause{6};
    std::map<std::string, kernel::time_point> paused_at;
    auto now = start_time;
    for (int n = 0; n < 300; ++n, now += milliseconds{20}) {
        series.send(wanted, now, [&](const auto& sent) {
            if (const auto it = paused_at.find(sent.server); it != paused_at.end()) {
                INFO(sent.server);
                CHECK(now - it->second >= pause - milliseconds{5});
            }
            paused_at[sent.server] = now;
            return refused_for(pause);
        });
    }
    CHECK(paused_at.size() >= 2);
    for (const auto& it : series.answers) {
        CHECK(it.kind == answer_kind::not_run);
    }
}

// Guards against clients that return while the backend servers still refuse, or all at once.
TEST_CASE("a refusal for a pause brings clients back after it, at different times") {
    request_series series{fleet{1, 1}};
    const auto single = series.servers().single;
    series.send(single, start_time, [](const auto&) { return refused_for(seconds{4}); });
    const auto asked_at = start_time + seconds{1};
    std::set<kernel::duration> waits;
    for (int n = 0; n < 20; ++n) {
        CHECK(series.send(single, asked_at, [](const auto& sent) { return success(sent.server); })
                  .empty());
        const auto& answer = series.answers.back();
        CHECK(answer.kind == answer_kind::not_run);
        CHECK(answer.retry_after >= seconds{3});
        CHECK(answer.retry_after <= seconds{5});
        waits.insert(answer.retry_after);
    }
    CHECK(waits.size() == 20);
}

// Guards against a gather that is sent to the few shards that are left although it cannot succeed.
TEST_CASE("a gather is refused before it is sent if too many shards are paused") {
    request_series series{fleet{4, 1}};
    const auto gather = series.servers().gather;
    series.send(gather, start_time, [](const auto& sent) {
        return sent.service < "s2" ? refused_for(seconds{4}) : success(sent.server);
    });
    CHECK(series
              .send(gather, start_time + seconds{1},
                    [](const auto& sent) { return success(sent.server); })
              .empty());
    CHECK(series.answers.back().kind == answer_kind::not_run);
    CHECK(series.answers.back().retry_after >= seconds{2});
    CHECK(series
              .send(gather, start_time + seconds{5},
                    [](const auto& sent) { return success(sent.server); })
              .size() == 4);
}

// Guards against a rush of requests to a backend server whose pause has just ended.
TEST_CASE("after a pause one request has to be answered before others are sent") {
    const fleet fleet{1, 1};
    const auto view = fleet.published();
    traffic_state state{test_options(), 1};
    fake_transport transport;
    session first{state, transport, view, fleet.single, request()};
    first.start(start_time);
    first.on_result(0, refused_for(seconds{1}), start_time);
    const auto resumed = start_time + seconds{1};
    auto later = request();
    later.received = resumed;
    fake_transport second_transport;
    session second{state, second_transport, view, fleet.single, later};
    second.start(resumed);
    CHECK(second_transport.sent.size() == 1);
    fake_transport third_transport;
    session third{state, third_transport, view, fleet.single, later};
    third.start(resumed);
    CHECK(third_transport.sent.empty());
    second.on_result(0, success("second"), resumed + milliseconds{5});
    CHECK(third_transport.sent.size() == 1);
    fake_transport fourth_transport;
    session fourth{state, fourth_transport, view, fleet.single, later};
    fourth.start(resumed + milliseconds{5});
    CHECK(fourth_transport.sent.size() == 1);
}

// Guards against a backend server that excludes itself for ever, or by a pause of no length.
TEST_CASE("the length of a pause is limited") {
    backend_notices notices;
    const auto server = backend("a", "s");
    notices.on_reply(*server, refused_for(seconds{0}).reply, start_time);
    CHECK(notices.availability_of(*server, start_time) == backend_availability::available);
    notices.on_reply(*server, refused_for(std::chrono::hours{24}).reply, start_time);
    const auto end = start_time + backend_notices::max_pause;
    CHECK(notices.paused_until(*server) == end);
    CHECK(notices.availability_of(*server, end - milliseconds{1}) == backend_availability::none);
    CHECK(notices.availability_of(*server, end) == backend_availability::one_request);
}

// Guards against an announcement that is forgotten when the registration disappears for a moment.
TEST_CASE("a notice outlives a gap in the registration and is removed later") {
    backend_notices notices;
    const auto server = backend("a", "s");
    notices.on_reply(*server, leaving(success("a")).reply, start_time);
    const auto keep_none = [](const auto&) { return false; };
    notices.retain(keep_none, start_time + seconds{60});
    CHECK(notices.availability_of(*server, start_time) == backend_availability::none);
    notices.retain(keep_none, start_time + std::chrono::hours{1});
    CHECK(notices.availability_of(*server, start_time) == backend_availability::available);
}

// Guards against a second traffic thread that still uses the backend server.
TEST_CASE("notices are published to the other traffic threads") {
    backend_notices first;
    backend_notices second;
    first.set_publication([&](const auto& notice) { second.on_notice(notice); });
    const auto server = backend("a", "s");
    first.on_reply(*server, leaving(success("a")).reply, start_time);
    CHECK(second.availability_of(*server, start_time) == backend_availability::none);
}

}  // namespace
}  // namespace poplarfront::gateway
