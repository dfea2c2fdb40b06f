#include "daemon/membership_agent.h"

#include <spdlog/spdlog.h>

#include <csignal>

namespace poplarfront::daemon {
namespace {

model::instance_info self_row(const instance_identity& identity) {
    return {identity.instance, identity.data_centre, identity.peer_address,
            identity.incarnation_number, model::instance_status::alive};
}

std::uint64_t seed_of(const instance_identity& identity) {
    return model::stable_hash(identity.instance.text(), identity.incarnation_number.value);
}

}  // namespace

void membership_transport::send(const model::instance_info& to,
                                const membership::message_header& header,
                                membership::message_body body) {
    link_->send(to.peer_address, wire::message_kind::membership, header.sender_incarnation,
                wire::encode_membership({header.message_id, header.reply_to, std::move(body)}));
}

membership_agent::membership_agent(const instance_identity& identity,
                                   std::shared_ptr<peer_link> link,
                                   std::shared_ptr<tier_state_publisher> publisher)
    : random_(seed_of(identity)),
      transport_(std::move(link)),
      publisher_(std::move(publisher)),
      table_(clock_, random_, transport_, self_row(identity)) {}

void membership_agent::on_message(const wire::envelope& envelope) {
    const auto payload = wire::decode_membership(envelope.payload);
    if (!payload) {
        spdlog::warn("refused a malformed membership message of {}", envelope.sender.text());
        return;
    }
    const membership::message_header header{envelope.sender, envelope.sender_incarnation,
                                            payload->message_id, payload->reply_to};
    if (const auto* gossip = std::get_if<membership::gossip_body>(&payload->body)) {
        if (gossip->reply) {
            table_.on_gossip_reply(header, gossip->message);
        } else {
            table_.on_gossip(header, gossip->message);
        }
    } else if (const auto* request = std::get_if<membership::probe_request>(&payload->body)) {
        table_.on_probe_request(header, *request);
    } else {
        table_.on_probe_reply(header, std::get<membership::probe_reply>(payload->body));
    }
}

void membership_agent::on_instance_list(
    const std::vector<membership::instance_list_entry>& entries) {
    table_.on_instance_list(entries);
}

void membership_agent::on_leaving_section(const std::set<model::instance_id>& instances) {
    table_.on_leaving_section(instances);
}

void membership_agent::on_draining_seen(const model::server_id& server) {
    constexpr auto notice_lifetime = std::chrono::seconds{60};
    table_.report_draining(server, notice_lifetime);
}

void membership_agent::after_step() {
    if (table_.superseded() && !stop_requested_) {
        stop_requested_ = true;
        spdlog::critical("another process runs under the name of this instance; stopping");
        std::raise(SIGTERM);
    }
    if (auto view = table_.take_changed_view()) {
        publisher_->on_instances(std::move(*view));
    }
    if (const auto draining = table_.take_changed_draining()) {
        publisher_->on_draining(*draining);
    }
    for (const auto fingerprint : table_.take_new_quarantined()) {
        if (quarantine_listener_) {
            quarantine_listener_(fingerprint);
        }
    }
}

}  // namespace poplarfront::daemon
