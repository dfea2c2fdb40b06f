#include <catch2/catch.hpp>

#include "fixture.h"

namespace poplarfront::gateway {
namespace {

/// A shard with one backend server in this data centre and two in others, all with known latencies.
struct spread_replicas {
    spread_replicas() {
        auto& backends = servers.view.backends[service("s0")];
        backends = {backend("near", "s0", "near"), backend("far-1", "s0", "far-1"),
                    backend("far-2", "s0", "far-2")};
        constexpr int known_replies = 20;
        for (int it = 0; it < known_replies; ++it) {
            reply("near", milliseconds{10});
            reply("far-1", milliseconds{12});
            reply("far-2", milliseconds{12});
        }
    }

    void reply(const std::string& id, milliseconds latency) {
        const auto server = model::server_id::trusted(id);
        state.replicas().on_sent(server);
        state.replicas().on_answered(server, latency, 0, start_time);
    }

    /// The backend server that a request is sent to.
    std::string chosen() {
        fake_transport transport;
        session sent{state, transport, servers.published(), servers.single, request()};
        sent.start(start_time);
        const auto server = transport.sent.at(0).server;
        sent.on_result(0, ended(attempt_end::not_sent), start_time);
        return server;
    }

    fleet servers{1, 1};
    traffic_state state{test_options(), 1};
};

// Guards against parts of gathers that cross data centres for seconds after each short pause of a
// backend server. In a large fleet, some of 180 shards always have one that has just paused.
TEST_CASE("a single late reply does not move requests to another data centre") {
    spread_replicas replicas;
    replicas.reply("near", milliseconds{60});
    CHECK(replicas.chosen() == "near");
}

// Guards against requests that stay at a backend server that has become slow.
TEST_CASE("requests move to another data centre when a backend server stays slow") {
    spread_replicas replicas;
    for (int it = 0; it < 4; ++it) {
        replicas.reply("near", milliseconds{60});
    }
    CHECK(replicas.chosen() != "near");
}

}  // namespace
}  // namespace poplarfront::gateway
