#include <catch2/catch.hpp>

#include "fixture.h"

namespace poplarfront::gateway {
namespace {

/// Sends the same request again and again, as clients and their retries do, and has every attempt
/// end as `result_of` says.
class repeated_request {
public:
    explicit repeated_request(fleet fleet) : fleet_(std::move(fleet)) {}

    /// Returns the number of attempts that reach a backend server.
    template <class ResultOf>
    std::size_t send(const route& wanted, const ResultOf& result_of) {
        now_ += milliseconds{100};
        fake_transport transport;
        auto repeated = request();
        repeated.received = now_;
        session sent{state_, transport, fleet_.published(), wanted, repeated};
        sent.start(now_);
        for (std::size_t it = 0; it < transport.sent.size(); ++it) {
            sent.on_result(transport.sent[it].attempt, result_of(transport.sent[it]), now_);
            end_probes(sent, transport, false, now_);
        }
        return transport.sent.size();
    }

    fleet& servers() { return fleet_; }
    traffic_state& state() { return state_; }
    kernel::time_point& now() { return now_; }

private:
    fleet fleet_;
    traffic_state state_{test_options(), 1};
    kernel::time_point now_ = start_time;
};

attempt_result lose(const fake_transport::sent_request& /*sent*/) {
    return ended(attempt_end::lost);
}

// Guards against crashes that are not counted because the client has left.
TEST_CASE("a connection that is lost after the client has left counts as a crash") {
    repeated_request repeated{fleet{1, 8}};
    const auto view = repeated.servers().published();
    constexpr std::size_t threshold = 3;
    std::size_t sent = 0;
    for (std::size_t round = 0; round <= threshold; ++round) {
        fake_transport transport;
        session abandoned{repeated.state(), transport, view, repeated.servers().single, request()};
        abandoned.start(start_time);
        abandoned.on_client_disconnected(start_time + milliseconds{5});
        for (const auto& it : transport.sent) {
            abandoned.on_result(it.attempt, ended(attempt_end::lost),
                                start_time + milliseconds{10});
        }
        sent += transport.sent.size();
    }
    CHECK(sent == threshold);
}

// Guards against a request of which only the first lost attempt counts.
TEST_CASE("every lost attempt of a gather counts as a crash") {
    repeated_request repeated{fleet{4, 4}};
    repeated.send(repeated.servers().gather, lose);
    CHECK(repeated.send(repeated.servers().gather, lose) == 0);
}

// Guards against crashes that are counted by id, which a backend server may keep over a restart.
TEST_CASE("a backend server that crashes again under its id counts again") {
    repeated_request repeated{fleet{1, 1}};
    auto& backends = repeated.servers().view.backends.begin()->second;
    std::size_t sent = 0;
    for (int round = 0; round < 6; ++round) {
        auto restarted = *backends.front();
        ++restarted.started_ms;
        backends.front() = std::make_shared<const backend_entry>(restarted);
        sent += repeated.send(repeated.servers().single, lose);
    }
    // Each of three processes gets the request and its retry.
    constexpr std::size_t max_sent = 6;
    CHECK(sent >= 3);
    CHECK(sent <= max_sent);
}

// Guards against a reply of another shard that clears the crashes.
TEST_CASE("a gather that crashes only the backend servers of one shard leaves it out") {
    repeated_request repeated{fleet{4, 8}};
    std::size_t crashes = 0;
    std::size_t last_sent = 0;
    for (int round = 0; round < 10; ++round) {
        last_sent = repeated.send(repeated.servers().gather, [&](const auto& sent) {
            const bool crashing = sent.service == "s0";
            crashes += crashing ? 1 : 0;
            return crashing ? ended(attempt_end::lost) : success(sent.server);
        });
    }
    CHECK(crashes >= 3);
    CHECK(crashes <= 4);
    CHECK(last_sent == 3);
}

// Guards against a crash that is revoked because something accepts connections at the address of a
// backend server that has crashed.
TEST_CASE(
    "a gather that no backend server survives stays quarantined if connections are accepted") {
    const fleet fleet{20, 2};
    traffic_state state{test_options(), 1};
    fake_transport transport;
    session gather{state, transport, fleet.published(), fleet.gather, request()};
    gather.start(start_time);
    for (std::size_t it = 0; it < transport.sent.size(); ++it) {
        gather.on_result(transport.sent[it].attempt, ended(attempt_end::lost),
                         start_time + milliseconds{5});
        end_probes(gather, transport, true, start_time + milliseconds{5});
    }
    CHECK(state.quarantine().quarantined(request().fingerprint));
    constexpr std::size_t shards = 20;
    constexpr std::size_t retries_before_quarantine = 3;
    CHECK(transport.sent.size() <= shards + retries_before_quarantine);
}

// Guards against a gather that is given up after a reset of many connections, since these count as
// crashes that it has caused.
TEST_CASE("a gather is retried at all shards whose backend servers accept connections") {
    constexpr std::size_t shards = 20;
    constexpr std::size_t lost = 8;
    const fleet fleet{shards, 2};
    traffic_state state{test_options(), 1};
    fake_transport transport;
    session gather{state, transport, fleet.published(), fleet.gather, request()};
    gather.start(start_time);
    REQUIRE(transport.sent.size() == shards);
    for (attempt_number it = 0; it < shards; ++it) {
        gather.on_result(it, it < lost ? ended(attempt_end::lost) : success(std::to_string(it)),
                         start_time + milliseconds{5});
    }
    end_probes(gather, transport, true, start_time + milliseconds{10});
    REQUIRE(transport.sent.size() == shards + lost);
    CHECK_FALSE(state.quarantine().suspected(request().fingerprint));
    for (attempt_number it = shards; it < shards + lost; ++it) {
        gather.on_result(it, success(std::to_string(it)), start_time + milliseconds{15});
    }
    REQUIRE(transport.answers.size() == 1);
    CHECK(transport.answers.front().missing == 0);
}

}  // namespace
}  // namespace poplarfront::gateway
