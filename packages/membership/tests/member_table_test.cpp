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
        sent.push_back({"reply", to.instance, header, gossip, {}});
    }
    void send_probe_request(const model::instance_info& to, const message_header& header,
                            const probe_request& request) {
        sent.push_back({"probe", to.instance, header, {}, request.target});
    }
    void send_probe_reply(const model::instance_info& to, const message_header& header,
                          const probe_reply& reply) {
        sent.push_back({"reached", to.instance, header, {}, reply.target, reply.reached});
    }
    std::size_t count(const std::string& kind) const {
        return static_cast<std::size_t>(std::count_if(
            sent.begin(), sent.end(), [&](const auto& it) { return it.kind == kind; }));
    }
    std::vector<sent_message> sent;
};

constexpr std::uint64_t one_start = 1U << 16U;

model::instance_info row(const std::string& name, std::uint64_t start = one_start,
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
            tell("p" + std::to_string(n), {row("p" + std::to_string(n))});
        }
        // Delivers the news of the peers' arrival.
        advance(100ms, false);
        transport.sent.clear();
    }

    void tell(const std::string& from, std::vector<model::instance_info> members) {
        const auto start =
            members.empty() ? model::incarnation{one_start} : members.front().incarnation_number;
        table.on_gossip_reply({instance_id::trusted(from), start, 1, 0}, {0, members, {}, {}});
    }

    /// Moves time in steps of 10 ms. With `answer`, every peer answers each exchange.
    void advance(kernel::duration time, bool answer) {
        const auto end = clock.now() + time;
        while (clock.now() < end) {
            clock.advance(10ms);
            while (table.next_timer() <= clock.now()) {
                const auto first = transport.sent.size();
                table.on_timer();
                for (auto n = first; answer && n < transport.sent.size(); ++n) {
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

TEST_CASE("an instance that answers neither directly nor through others becomes failed") {
    fixture f{1};
    f.advance(2500ms, false);
    CHECK(f.status("p0") == instance_status::suspect);
    f.advance(4s, false);
    CHECK(f.status("p0") == instance_status::failed);
    CHECK(f.table.counters().failures == 1);
}

TEST_CASE("a missing reply alone does not make an instance suspect") {
    fixture f{6};
    while (f.transport.count("probe") == 0) {
        f.advance(10ms, false);
    }
    CHECK(f.transport.count("probe") == 3);
    const auto target = f.transport.sent.back().target;
    CHECK(f.status(target.text()) == instance_status::alive);
    f.table.on_probe_reply({f.transport.sent.back().to, {one_start}, 9, 0}, {target, true});
    f.advance(1200ms, true);
    CHECK(f.status(target.text()) == instance_status::alive);
}

TEST_CASE("a probe for another instance is answered with what was found") {
    fixture f{2};
    f.table.on_probe_request({instance_id::trusted("p0"), {one_start}, 5, 0},
                             {instance_id::trusted("p1")});
    f.table.on_traffic(instance_id::trusted("p1"));
    REQUIRE(f.transport.sent.back().kind == "reached");
    CHECK(f.transport.sent.back().reached);
    CHECK(f.transport.sent.back().header.reply_to == 5);
    f.table.on_probe_request({instance_id::trusted("p0"), {one_start}, 6, 0},
                             {instance_id::trusted("p1")});
    f.advance(520ms, false);
    const auto& sent = f.transport.sent;
    const auto it = std::find_if(sent.begin(), sent.end(), [](const auto& message) {
        return message.kind == "reached" && message.header.reply_to == 6;
    });
    REQUIRE(it != sent.end());
    CHECK_FALSE(it->reached);
}

TEST_CASE("replies to traffic keep a suspect instance from being failed") {
    fixture f{2};
    f.tell("p0", {row("p0"), row("p1", one_start, instance_status::suspect)});
    CHECK(f.status("p1") == instance_status::suspect);
    f.advance(2s, true);
    f.table.on_traffic(instance_id::trusted("p1"));
    f.advance(2s, true);
    CHECK(f.status("p1") == instance_status::suspect);
}

TEST_CASE("only a higher incarnation refutes a suspicion") {
    fixture f{2};
    f.tell("p0", {row("p0"), row("p1", one_start, instance_status::suspect)});
    f.tell("p0", {row("p0"), row("p1")});
    CHECK(f.status("p1") == instance_status::suspect);
    f.tell("p0", {row("p0"), row("p1", one_start + 1)});
    CHECK(f.status("p1") == instance_status::alive);
}

TEST_CASE("an instance that is told that it failed refutes with a higher incarnation") {
    fixture f{3};
    f.tell("p0", {row("p0"), row("self", one_start, instance_status::failed)});
    CHECK(f.table.self().incarnation_number.value == one_start + 1);
    CHECK(f.table.self().status == instance_status::alive);
    f.advance(50ms, true);
    CHECK(f.transport.count("reply") == 3);
}

TEST_CASE("a failure seen by another instance only is suspected first") {
    fixture f{2};
    f.tell("p0", {row("p0"), row("p1", one_start, instance_status::failed)});
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

TEST_CASE("leaving is pushed to 4 peers before the call returns") {
    fixture f{9};
    f.table.leave();
    REQUIRE(f.transport.count("reply") == 4);
    CHECK(f.transport.sent.front().gossip.members.front() ==
          row("self", one_start, instance_status::leaving));
}

TEST_CASE("an instance that hears of another's leaving forwards it to 4 peers") {
    fixture f{9};
    f.tell("p0", {row("p0", one_start, instance_status::leaving)});
    f.advance(30ms, true);
    CHECK(f.transport.count("reply") == 4);
}

TEST_CASE("a leaving process never becomes alive again, a later one of its name does") {
    fixture f{2};
    f.tell("p0", {row("p0", one_start, instance_status::leaving)});
    f.tell("p1", {row("p1"), row("p0")});
    CHECK(f.status("p0") == instance_status::leaving);
    f.tell("p1", {row("p1"), row("p0", one_start + 3)});
    CHECK(f.status("p0") == instance_status::leaving);
    f.table.on_instance_list({{row("p0", one_start + 3), false}, {row("p1"), false}});
    CHECK(f.status("p0") == instance_status::leaving);
    f.tell("p1", {row("p1"), row("p0", 2 * one_start)});
    CHECK(f.status("p0") == instance_status::alive);
}

TEST_CASE("a silent leaving instance becomes failed") {
    fixture f{1};
    f.tell("p0", {row("p0", one_start, instance_status::leaving)});
    f.advance(8s, false);
    CHECK(f.status("p0") == instance_status::failed);
}

TEST_CASE("the leaving section holds for instances that are heard of later") {
    fixture f{1};
    f.table.on_leaving_section({instance_id::trusted("p0"), instance_id::trusted("late")});
    CHECK(f.status("p0") == instance_status::leaving);
    f.tell("late", {row("late")});
    CHECK(f.status("late") == instance_status::leaving);
    f.table.on_leaving_section({instance_id::trusted("self")});
    CHECK(f.table.self().status == instance_status::leaving);
}

TEST_CASE("a message of an older incarnation is refused, counted, and answered with the newer") {
    fixture f{2};
    f.tell("p0", {row("p0", 2 * one_start)});
    f.transport.sent.clear();
    f.table.on_gossip({instance_id::trusted("p0"), {one_start}, 1, 0},
                      {0, {row("p0"), row("p1", one_start, instance_status::leaving)}, {}, {}});
    CHECK(f.table.counters().stale_messages == 1);
    CHECK(f.status("p1") == instance_status::alive);
    REQUIRE(f.transport.count("reply") == 1);
    CHECK(f.transport.sent.front().gossip.members.back() == row("p0", 2 * one_start));
}

TEST_CASE("a process whose name was taken by a later one knows that it must stop") {
    fixture f{1};
    f.tell("p0", {row("p0"), row("self", 2 * one_start)});
    CHECK(f.table.superseded());
    CHECK(f.table.self().incarnation_number.value == one_start);
}

TEST_CASE("the platform's list adds unknown instances and removes those that do not answer") {
    fixture f{2};
    const instance_list_entry listed{row("listed", 0), false};
    f.table.on_instance_list({{row("p0"), false}, {row("p1"), false}, listed});
    CHECK(f.status("listed") == instance_status::alive);
    f.tell("p0", {row("p0"), row("p1", one_start, instance_status::suspect)});
    f.table.on_instance_list({listed});
    CHECK(f.status("p0") == instance_status::alive);
    CHECK(f.status("p1") == instance_status::failed);
    f.advance(605s, true);
    f.status("p0");
    CHECK(f.view.find(instance_id::trusted("p1")) == nullptr);
}

TEST_CASE("an instance that starts is told who has gone, since the list may still show them") {
    fixture f{3};
    f.tell("p0", {row("p0", one_start, instance_status::leaving)});
    f.tell("p1", {row("p1"), row("p2", one_start, instance_status::suspect)});
    f.tell("p1", {row("p1"), row("p2", one_start, instance_status::failed)});
    f.advance(200s, true);
    f.transport.sent.clear();
    f.table.on_gossip({instance_id::trusted("new"), {one_start}, 1, 0}, {1, {row("new")}, {}, {}});
    const auto& told = f.transport.sent.front().gossip.members;
    for (const auto& gone : {row("p0", one_start, instance_status::leaving),
                             row("p2", one_start, instance_status::failed)}) {
        CHECK(std::find(told.begin(), told.end(), gone) != told.end());
    }
}

TEST_CASE("a leaving entry of the lagging list does not touch a later process of that name") {
    fixture f{1};
    f.tell("p0", {row("p0", 2 * one_start)});
    f.table.on_instance_list({{row("p0"), true}});
    CHECK(f.status("p0") == instance_status::alive);
    f.table.on_instance_list({{row("p0", 2 * one_start), true}});
    CHECK(f.status("p0") == instance_status::leaving);
}

TEST_CASE("failed rows are purged and do not come back from others") {
    member_options options;
    options.failed_retention = 10s;
    fixture f{1, options};
    f.tell("x", {row("x")});
    f.tell("p0", {row("p0"), row("x", one_start, instance_status::suspect)});
    f.tell("p0", {row("p0"), row("x", one_start, instance_status::failed)});
    CHECK(f.status("x") == instance_status::failed);
    f.advance(12s, true);
    for (const auto doubt : {instance_status::suspect, instance_status::failed}) {
        f.tell("p0", {row("p0"), row("x", one_start, doubt)});
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
        f.tell(name, {row(name)});
        f.tell("p0", {row("p0"), row(name, one_start, instance_status::suspect)});
        f.tell("p0", {row("p0"), row(name, one_start, instance_status::failed)});
    }
    f.advance(2s, true);
    f.status("p0");
    CHECK(f.view.instances.size() <= 7);
}

TEST_CASE("many failures do not hold up the news that an instance is leaving") {
    fixture f{60};
    for (int n = 0; n < 30; ++n) {
        f.tell("p59",
               {row("p59"), row("p" + std::to_string(n), one_start, instance_status::suspect)});
        f.advance(100ms, true);
    }
    const auto pushes = f.table.counters().pushes;
    f.tell("p59", {row("p59"), row("p50", one_start, instance_status::suspect)});
    f.advance(100ms, true);
    // Without this the allowance for failures was not used up, and the rest would show nothing.
    REQUIRE(f.table.counters().pushes == pushes);
    f.tell("p58", {row("p58", one_start, instance_status::leaving)});
    f.advance(30ms, true);
    CHECK(f.table.counters().pushes == pushes + 4);
}

TEST_CASE("a message stays within its size limit and news is sent a bounded number of times") {
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
    f.tell("p0", {row("p0"), row("p1", one_start + 1)});
    f.transport.sent.clear();
    f.advance(60s, true);
    const auto with_news =
        std::count_if(f.transport.sent.begin(), f.transport.sent.end(), [](const auto& it) {
            const auto& members = it.gossip.members;
            return std::find(members.begin(), members.end(), row("p1", one_start + 1)) !=
                   members.end();
        });
    CHECK(with_news >= 9);
    CHECK(with_news <= 18);
}

TEST_CASE("a draining backend server is told to others and forgotten when the notice ends") {
    fixture f{5};
    const auto server = model::server_id::trusted("b7");
    f.table.report_draining(server, 20s);
    CHECK(f.table.take_changed_draining() == std::vector{server});
    f.advance(30ms, true);
    REQUIRE(f.transport.count("reply") == 4);
    CHECK(f.transport.sent.front().gossip.draining.front().server == server);
    CHECK(f.transport.sent.front().gossip.draining.front().remaining <= 20s);
    f.table.on_gossip_reply({instance_id::trusted("p0"), {one_start}, 4, 0},
                            {0, {row("p0")}, {{server, 20'100ms}}, {}});
    f.advance(21s, true);
    CHECK(f.table.take_changed_draining() == std::vector<model::server_id>{});
}

TEST_CASE("a quarantined fingerprint is told once to this instance and pushed to others") {
    fixture f{5};
    const message_header header{instance_id::trusted("p0"), {one_start}, 4, 0};
    f.table.on_gossip_reply(header, {0, {row("p0")}, {}, {42}});
    f.table.on_gossip_reply(header, {0, {row("p0")}, {}, {42}});
    CHECK(f.table.take_new_quarantined() == std::vector<std::uint64_t>{42});
    CHECK(f.table.take_new_quarantined().empty());
    f.advance(30ms, true);
    REQUIRE(f.transport.count("reply") == 4);
    CHECK(f.transport.sent.front().gossip.quarantined == std::vector<std::uint64_t>{42});
}

}  // namespace
}  // namespace poplarfront::membership
