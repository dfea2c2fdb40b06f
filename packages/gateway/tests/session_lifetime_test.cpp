#include <catch2/catch.hpp>
#include <memory>
#include <optional>

#include "fixture.h"

namespace poplarfront::gateway {
namespace {

using std::chrono::seconds;

/// A gather whose last owner releases it when it is answered, like a gather that another instance
/// has delegated.
class released_gather {
public:
    released_gather(traffic_state& state, const fleet& servers)
        : owned_(std::make_shared<parts>(state, servers)), watch_(owned_) {
        owned_->transport.owner = owned_;
        owned_->transport.on_answer = [this] {
            owned_.reset();
            released_during_call_ = watch_.expired();
        };
        owned_->gather.start(start_time);
    }

    [[nodiscard]] const fake_transport& transport() const { return owned_->transport; }
    [[nodiscard]] bool answered() const { return released_during_call_.has_value(); }
    [[nodiscard]] bool released_during_call() const {
        return released_during_call_.value_or(false);
    }
    [[nodiscard]] bool released() const { return watch_.expired(); }

private:
    struct parts {
        parts(traffic_state& state, const fleet& servers)
            : gather(state, transport, servers.published(), servers.gather, request()) {}
        fake_transport transport;
        session gather;
    };

    std::shared_ptr<parts> owned_;
    std::weak_ptr<parts> watch_;
    std::optional<bool> released_during_call_;
};

// Guards against use of freed memory in instances that gather for others: a gather without an
// attempt in flight was woken, failed, and was destroyed by its own answer (review case 1).
TEST_CASE("a gather that is answered when a connection becomes free outlives that call") {
    fleet servers{1, 1};
    servers.configuration.services[service("s0")] = service_options{1};
    traffic_state state{test_options(), 1};
    fake_transport transport;
    session running{state, transport, servers.published(), servers.single, request()};
    running.start(start_time);
    const released_gather waiting{state, servers};
    REQUIRE(waiting.transport().sent.empty());
    auto pause = reply_with_status(503, false);
    pause.reply.retry_after = seconds{1};
    running.on_result(0, pause, start_time + milliseconds{10});
    REQUIRE(waiting.answered());
    CHECK_FALSE(waiting.released_during_call());
    CHECK(waiting.released());
}

// Guards against the same fault when the decision on a trial ends the gather.
TEST_CASE("a gather that is answered by the decision on its trial outlives that call") {
    const fleet servers{4};
    traffic_state state{test_options(), 1};
    std::optional<crash_trial> claim;
    crash_quarantine::publication publication;
    publication.claim_trial = [&](const auto& it) { claim = it; };
    state.quarantine().set_publication(std::move(publication));
    for (const auto* it : {"a", "b", "c"}) {
        state.quarantine().on_crash({request().fingerprint, service("s1"), it},
                                    start_time - seconds{5});
    }
    const released_gather gather{state, servers};
    REQUIRE(claim);
    state.quarantine().on_trial_decision(*claim, false, start_time + milliseconds{10});
    REQUIRE(gather.answered());
    CHECK_FALSE(gather.released_during_call());
    CHECK(gather.released());
}

}  // namespace
}  // namespace poplarfront::gateway
