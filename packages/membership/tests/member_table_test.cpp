#include "membership/member_table.h"

#include <catch2/catch.hpp>
#include <string>

#include "kernel/clock_and_random_sources.h"

namespace poplarfront::membership {
namespace {

using model::instance_id;
using model::instance_status;
using namespace std::chrono_literals;

struct sent_message {
    std::string kind;
    instance_id to;
    message_header header;
    gossip_message gossip;
    instance_id target;
    bool reached = false;
};

struct recording_transport {
    void send_gossip(const model::instance_info& to, const message_header& header,
                     const gossip_message& gossip) {
        sent.push_back({"gossip", to.instance, header, gossip, {}});
    }
    void send_gossip_reply(const model::instance_info& to, const message_header& header,
                           const gossip_message& gossip) {
        sent.push_back({"reply or push", to.instance, header, gossip, {}});
    }
    void send_probe_request(const model::instance_info& to, const message_header& header,
                            const probe_request& request) {
        sent.push_back({"probe request", to.instance, header, {}, request.target});
    }
    void send_probe_reply(const model::instance_info& to, const message_header& header,
                          const probe_reply& reply) {
        sent.push_back({"probe reply", to.instance, header, {}, reply.target, reply.reached});
    }
    std::size_t count(const std::string& kind) const {
        return static_cast<std::size_t>(std::count_if(
            sent.begin(), sent.end(), [&](const auto& it) { return it.kind == kind; }));
    }
    std::vector<sent_message> sent;
};

/// The incarnation of a process that started at 1 ms. `first_start + n` is its refutation number n,
/// `2 * first_start` the incarnation of a later process.
constexpr std::uint64_t first_start = 1U << 16U;

model::instance_info row(const std::string& name, std::uint64_t start = first_start,
                         instance_status status = instance_status::alive) {
    return {instance_id::trusted(name),
            model::data_centre_id::trusted("howrah"),
            "127.0.0.1:7000",
            {start},
            status};
}

using table_type =
    member_table<kernel::manual_clock, kernel::seeded_random_source, recording_transport>;

struct fixture {
    explicit fixture(std::size_t peers, member_options options = {})
        : table(clock, random, transport, row("self"), options) {
        for (std::size_t n = 0; n < peers; ++n) {
            deliver_reply("p" + std::to_string(n), {row("p" + std::to_string(n))});
        }
        // Sends the updates about the new peers.
        advance(100ms, false);
        transport.sent.clear();
    }

    void deliver_reply(const std::string& from, std::vector<model::instance_info> members) {
        const auto start =
            members.empty() ? model::incarnation{first_start} : members.front().incarnation_number;
        table.on_gossip_reply({instance_id::trusted(from), start, 1, 0}, {0, members, {}, {}});
    }

    /// Advances time in steps of 10 ms. With `with_replies`, contact with the receiver of each
    /// gossip message is recorded, as a reply would do.
    void advance(kernel::duration time, bool with_replies) {
        const auto end = clock.now() + time;
        while (clock.now() < end) {
            clock.advance(10ms);
            while (table.next_timer() <= clock.now()) {
                const auto first = transport.sent.size();
                table.on_timer();
                for (auto n = first; with_replies && n < transport.sent.size(); ++n) {
                    if (transport.sent[n].kind == "gossip") {
                        table.on_traffic(transport.sent[n].to);
                    }
                }
            }
        }
    }

    instance_status status(const std::string& name) {
        table.take_changed_view().swap(changed);
        if (changed) {
            view = *changed;
        }
        const auto* found = view.find(instance_id::trusted(name));
        REQUIRE(found != nullptr);
        return found->status;
    }

    kernel::manual_clock clock;
    kernel::seeded_random_source random{7};
    recording_transport transport;
    table_type table;
    model::instance_view view;
    std::optional<model::instance_view> changed;
};

TEST_CASE("an instance that does not reply, without others to probe it, becomes failed") {
    fixture f{1};
    f.advance(2500ms, false);
    CHECK(f.status("p0") == instance_status::suspect);
    f.advance(4s, false);
    CHECK(f.status("p0") == instance_status::failed);
    CHECK(f.table.counters().failures == 1);
}

TEST_CASE("a missing reply alone does not make an instance suspect") {
    fixture f{6};
    while (f.transport.count("probe request") == 0) {
        f.advance(10ms, false);
    }
    CHECK(f.transport.count("probe request") == 3);
    const auto target = f.transport.sent.back().target;
    CHECK(f.status(target.text()) == instance_status::alive);
    f.table.on_probe_reply({f.transport.sent.back().to, {first_start}, 9, 0}, {target, true});
    f.advance(1200ms, true);
    CHECK(f.status(target.text()) == instance_status::alive);
}

TEST_CASE("a probe request is answered with whether the target replied") {
    fixture f{2};
    f.table.on_probe_request({instance_id::trusted("p0"), {first_start}, 5, 0},
                             {instance_id::trusted("p1")});
    f.table.on_traffic(instance_id::trusted("p1"));
    REQUIRE(f.transport.sent.back().kind == "probe reply");
    CHECK(f.transport.sent.back().reached);
    CHECK(f.transport.sent.back().header.reply_to == 5);
    f.table.on_probe_request({instance_id::trusted("p0"), {first_start}, 6, 0},
                             {instance_id::trusted("p1")});
    f.advance(520ms, false);
    const auto& sent = f.transport.sent;
    const auto it = std::find_if(sent.begin(), sent.end(), [](const auto& message) {
        return message.kind == "probe reply" && message.header.reply_to == 6;
    });
    REQUIRE(it != sent.end());
    CHECK_FALSE(it->reached);
}

TEST_CASE("replies to other traffic keep a suspect instance from becoming failed") {
    fixture f{2};
    f.deliver_reply("p0", {row("p0"), row("p1", first_start, instance_status::suspect)});
    CHECK(f.status("p1") == instance_status::suspect);
    f.advance(2s, true);
    f.table.on_traffic(instance_id::trusted("p1"));
    f.advance(2s, true);
    CHECK(f.status("p1") == instance_status::suspect);
}

TEST_CASE("only a higher incarnation refutes a suspicion") {
    fixture f{2};
    f.deliver_reply("p0", {row("p0"), row("p1", first_start, instance_status::suspect)});
    f.deliver_reply("p0", {row("p0"), row("p1")});
    CHECK(f.status("p1") == instance_status::suspect);
    f.deliver_reply("p0", {row("p0"), row("p1", first_start + 1)});
    CHECK(f.status("p1") == instance_status::alive);
}

TEST_CASE("an instance that is reported as failed refutes this with a higher incarnation") {
    fixture f{3};
    f.deliver_reply("p0", {row("p0"), row("self", first_start, instance_status::failed)});
    CHECK(f.table.self().incarnation_number.value == first_start + 1);
    CHECK(f.table.self().status == instance_status::alive);
    f.advance(50ms, true);
    CHECK(f.transport.count("reply or push") == 3);
}

TEST_CASE("a failure that only another instance reports makes a row suspect first") {
    fixture f{2};
    f.deliver_reply("p0", {row("p0"), row("p1", first_start, instance_status::failed)});
    CHECK(f.status("p1") == instance_status::suspect);
}

TEST_CASE("a pause of this process does not make others suspect") {
    fixture f{4};
    while (f.transport.count("gossip") == 0) {
        f.advance(10ms, false);
    }
    f.clock.advance(30s);
    f.table.on_timer();
    CHECK(f.table.counters().suspicions == 0);
}

TEST_CASE("leave() pushes to 4 peers before it returns") {
    fixture f{9};
    f.table.leave();
    REQUIRE(f.transport.count("reply or push") == 4);
    CHECK(f.transport.sent.front().gossip.members.front() ==
          row("self", first_start, instance_status::leaving));
}

TEST_CASE("an instance that learns of a leaving instance pushes this to 4 peers") {
    fixture f{9};
    f.deliver_reply("p0", {row("p0", first_start, instance_status::leaving)});
    f.advance(30ms, true);
    CHECK(f.transport.count("reply or push") == 4);
}

TEST_CASE("a leaving process never becomes alive again, but a later process of its name does") {
    fixture f{2};
    f.deliver_reply("p0", {row("p0", first_start, instance_status::leaving)});
    f.deliver_reply("p1", {row("p1"), row("p0")});
    CHECK(f.status("p0") == instance_status::leaving);
    f.deliver_reply("p1", {row("p1"), row("p0", first_start + 3)});
    CHECK(f.status("p0") == instance_status::leaving);
    f.table.on_instance_list({{row("p0", first_start + 3), false}, {row("p1"), false}});
    CHECK(f.status("p0") == instance_status::leaving);
    f.deliver_reply("p1", {row("p1"), row("p0", 2 * first_start)});
    CHECK(f.status("p0") == instance_status::alive);
}

TEST_CASE("a leaving instance that does not reply becomes failed") {
    fixture f{1};
    f.deliver_reply("p0", {row("p0", first_start, instance_status::leaving)});
    f.advance(8s, false);
    CHECK(f.status("p0") == instance_status::failed);
}

TEST_CASE("the leaving section applies to instances that become known later") {
    fixture f{1};
    f.table.on_leaving_section({instance_id::trusted("p0"), instance_id::trusted("late")});
    CHECK(f.status("p0") == instance_status::leaving);
    f.deliver_reply("late", {row("late")});
    CHECK(f.status("late") == instance_status::leaving);
    f.table.on_leaving_section({instance_id::trusted("self")});
    CHECK(f.table.self().status == instance_status::leaving);
}

TEST_CASE("a message of an older incarnation is ignored, counted and answered with the newer row") {
    fixture f{2};
    f.deliver_reply("p0", {row("p0", 2 * first_start)});
    f.transport.sent.clear();
    f.table.on_gossip({instance_id::trusted("p0"), {first_start}, 1, 0},
                      {0, {row("p0"), row("p1", first_start, instance_status::leaving)}, {}, {}});
    CHECK(f.table.counters().stale_messages == 1);
    CHECK(f.status("p1") == instance_status::alive);
    REQUIRE(f.transport.count("reply or push") == 1);
    CHECK(f.transport.sent.front().gossip.members.back() == row("p0", 2 * first_start));
}

TEST_CASE("a process is superseded when a later process of its name becomes known") {
    fixture f{1};
    f.deliver_reply("p0", {row("p0"), row("self", 2 * first_start)});
    CHECK(f.table.superseded());
    CHECK(f.table.self().incarnation_number.value == first_start);
}

TEST_CASE("the platform's list adds unknown instances; unlisted ones that are not alive fail") {
    fixture f{2};
    const instance_list_entry listed{row("listed", 0), false};
    f.table.on_instance_list({{row("p0"), false}, {row("p1"), false}, listed});
    CHECK(f.status("listed") == instance_status::alive);
    f.deliver_reply("p0", {row("p0"), row("p1", first_start, instance_status::suspect)});
    f.table.on_instance_list({listed});
    CHECK(f.status("p0") == instance_status::alive);
    CHECK(f.status("p1") == instance_status::failed);
    f.advance(605s, true);
    // Updates f.view.
    f.status("p0");
    CHECK(f.view.find(instance_id::trusted("p1")) == nullptr);
}

// A starting instance knows others only from the platform's list, which may still show leaving or
// failed ones as alive.
TEST_CASE("an instance that starts is told which instances are leaving or failed") {
    fixture f{3};
    f.deliver_reply("p0", {row("p0", first_start, instance_status::leaving)});
    f.deliver_reply("p1", {row("p1"), row("p2", first_start, instance_status::suspect)});
    f.deliver_reply("p1", {row("p1"), row("p2", first_start, instance_status::failed)});
    // After this time the updates are no longer sent, so only the start of the peer adds the rows.
    f.advance(200s, true);
    f.transport.sent.clear();
    f.table.on_gossip({instance_id::trusted("new"), {first_start}, 1, 0},
                      {1, {row("new")}, {}, {}});
    const auto& sent_rows = f.transport.sent.front().gossip.members;
    for (const auto& unavailable : {row("p0", first_start, instance_status::leaving),
                                    row("p2", first_start, instance_status::failed)}) {
        CHECK(std::find(sent_rows.begin(), sent_rows.end(), unavailable) != sent_rows.end());
    }
}

TEST_CASE("a leaving entry of an outdated list does not affect a later process of that name") {
    fixture f{1};
    f.deliver_reply("p0", {row("p0", 2 * first_start)});
    f.table.on_instance_list({{row("p0"), true}});
    CHECK(f.status("p0") == instance_status::alive);
    f.table.on_instance_list({{row("p0", 2 * first_start), true}});
    CHECK(f.status("p0") == instance_status::leaving);
}

TEST_CASE("failed rows are purged, and updates from others do not add them again") {
    member_options options;
    options.failed_retention = 10s;
    fixture f{1, options};
    f.deliver_reply("x", {row("x")});
    f.deliver_reply("p0", {row("p0"), row("x", first_start, instance_status::suspect)});
    f.deliver_reply("p0", {row("p0"), row("x", first_start, instance_status::failed)});
    CHECK(f.status("x") == instance_status::failed);
    f.advance(12s, true);
    for (const auto status : {instance_status::suspect, instance_status::failed}) {
        f.deliver_reply("p0", {row("p0"), row("x", first_start, status)});
        // Updates f.view.
        f.status("p0");
        CHECK(f.view.find(instance_id::trusted("x")) == nullptr);
    }
}

TEST_CASE("failed rows above the limit are purged, so that memory stays bounded") {
    member_options options;
    options.max_failed_rows = 5;
    fixture f{1, options};
    for (int n = 0; n < 50; ++n) {
        const auto name = "x" + std::to_string(n);
        f.deliver_reply(name, {row(name)});
        f.deliver_reply("p0", {row("p0"), row(name, first_start, instance_status::suspect)});
        f.deliver_reply("p0", {row("p0"), row(name, first_start, instance_status::failed)});
    }
    f.advance(2s, true);
    // Updates f.view.
    f.status("p0");
    CHECK(f.view.instances.size() <= 7);
}

TEST_CASE("many updates that are not urgent do not delay the push about a leaving instance") {
    fixture f{60};
    for (int n = 0; n < 30; ++n) {
        f.deliver_reply("p59", {row("p59"), row("p" + std::to_string(n), first_start,
                                                instance_status::suspect)});
        f.advance(100ms, true);
    }
    const auto pushes = f.table.counters().pushes;
    f.deliver_reply("p59", {row("p59"), row("p50", first_start, instance_status::suspect)});
    f.advance(100ms, true);
    // The limit for pushes that are not urgent is exhausted, so no push is sent.
    REQUIRE(f.table.counters().pushes == pushes);
    f.deliver_reply("p58", {row("p58", first_start, instance_status::leaving)});
    f.advance(30ms, true);
    CHECK(f.table.counters().pushes == pushes + 4);
}

TEST_CASE("messages stay within the size limit, and an update is sent a bounded number of times") {
    member_options options;
    options.refresh_rows = 0;
    fixture f{300, options};
    f.advance(200s, true);
    for (const auto& it : f.transport.sent) {
        std::size_t bytes = 0;
        for (const auto& member : it.gossip.members) {
            bytes += max_encoded_size(member);
        }
        CHECK(bytes <= options.max_message_bytes);
    }
    f.deliver_reply("p0", {row("p0"), row("p1", first_start + 1)});
    f.transport.sent.clear();
    f.advance(60s, true);
    const auto with_update =
        std::count_if(f.transport.sent.begin(), f.transport.sent.end(), [](const auto& it) {
            const auto& members = it.gossip.members;
            return std::find(members.begin(), members.end(), row("p1", first_start + 1)) !=
                   members.end();
        });
    // The limit is retransmit_factor * bit_width(301) = 18; at least half of it must be reached.
    CHECK(with_update >= 9);
    CHECK(with_update <= 18);
}

TEST_CASE("a draining notice is pushed to others and removed when it expires") {
    fixture f{5};
    const auto server = model::server_id::trusted("b7");
    f.table.report_draining(server, 20s);
    CHECK(f.table.take_changed_draining() == std::vector{server});
    f.advance(30ms, true);
    REQUIRE(f.transport.count("reply or push") == 4);
    CHECK(f.transport.sent.front().gossip.draining.front().server == server);
    CHECK(f.transport.sent.front().gossip.draining.front().remaining <= 20s);
    f.table.on_gossip_reply({instance_id::trusted("p0"), {first_start}, 4, 0},
                            {0, {row("p0")}, {{server, 20'100ms}}, {}});
    f.advance(21s, true);
    CHECK(f.table.take_changed_draining() == std::vector<model::server_id>{});
}

TEST_CASE("a quarantined fingerprint is reported once on this instance and pushed to others") {
    fixture f{5};
    const message_header header{instance_id::trusted("p0"), {first_start}, 4, 0};
    f.table.on_gossip_reply(header, {0, {row("p0")}, {}, {42}});
    f.table.on_gossip_reply(header, {0, {row("p0")}, {}, {42}});
    CHECK(f.table.take_new_quarantined() == std::vector<std::uint64_t>{42});
    CHECK(f.table.take_new_quarantined().empty());
    f.advance(30ms, true);
    REQUIRE(f.transport.count("reply or push") == 4);
    CHECK(f.transport.sent.front().gossip.quarantined == std::vector<std::uint64_t>{42});
}

}  // namespace
}  // namespace poplarfront::membership
