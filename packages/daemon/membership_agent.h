#pragma once

#include <functional>
#include <memory>
#include <vector>

#include "daemon/instance_identity.h"
#include "daemon/peer_link.h"
#include "daemon/tier_state_publisher.h"
#include "kernel/clock_and_random_sources.h"
#include "membership/member_table.h"
#include "wire/membership_codec.h"

namespace poplarfront::daemon {

/// Sends membership messages over the peer link.
class membership_transport {
public:
    explicit membership_transport(std::shared_ptr<peer_link> link) : link_(std::move(link)) {}

    void send_gossip(const model::instance_info& to, const membership::message_header& header,
                     const membership::gossip_message& message) {
        send(to, header, membership::gossip_body{false, message});
    }
    void send_gossip_reply(const model::instance_info& to, const membership::message_header& header,
                           const membership::gossip_message& message) {
        send(to, header, membership::gossip_body{true, message});
    }
    void send_probe_request(const model::instance_info& to,
                            const membership::message_header& header,
                            const membership::probe_request& request) {
        send(to, header, request);
    }
    void send_probe_reply(const model::instance_info& to, const membership::message_header& header,
                          const membership::probe_reply& reply) {
        send(to, header, reply);
    }

private:
    void send(const model::instance_info& to, const membership::message_header& header,
              membership::message_body body);

    std::shared_ptr<peer_link> link_;
};

/// The member table of this instance with its inputs and outputs.
///
/// Thread safety: runs in a state_machine_loop on the control thread.
class membership_agent {
public:
    membership_agent(const instance_identity& identity, std::shared_ptr<peer_link> link,
                     std::shared_ptr<tier_state_publisher> publisher);

    void on_message(const wire::envelope& envelope);
    void on_instance_list(const std::vector<membership::instance_list_entry>& entries);
    void on_leaving_section(const std::set<model::instance_id>& instances);
    void on_draining_seen(const model::server_id& server);
    /// Tells other instances of a query that crashes backend servers.
    void on_quarantined(std::uint64_t fingerprint) { table_.report_quarantined(fingerprint); }
    /// `listener` gets the queries that other instances have put into quarantine.
    void listen_quarantined(std::function<void(std::uint64_t)> listener) {
        quarantine_listener_ = std::move(listener);
    }
    /// Takes a sign of life that traffic gave.
    void on_traffic(const model::instance_id& instance) { table_.on_traffic(instance); }
    /// Tells peers of a start.
    void announce() { table_.announce(); }
    /// Tells peers that this instance leaves.
    void leave() { table_.leave(); }

    [[nodiscard]] kernel::time_point next_timer() const { return table_.next_timer(); }
    void on_timer() { table_.on_timer(); }
    void after_step();

    [[nodiscard]] const membership::member_counters& counters() const { return table_.counters(); }

private:
    using table_type = membership::member_table<kernel::steady_clock_source,
                                                kernel::seeded_random_source, membership_transport>;

    kernel::steady_clock_source clock_;
    kernel::seeded_random_source random_;
    membership_transport transport_;
    std::shared_ptr<tier_state_publisher> publisher_;
    table_type table_;
    std::function<void(std::uint64_t)> quarantine_listener_;
    bool stop_requested_ = false;
};

}  // namespace poplarfront::daemon
