#include "daemon/configuration_agent.h"

#include <spdlog/spdlog.h>

#include "wire/configuration_codec.h"

namespace poplarfront::daemon {

void configuration_transport::send_message(const model::instance_id& peer,
                                           const configuration::configuration_message& message) {
    const auto state = publisher_->state().read();
    if (const auto* to = state->instances.find(peer)) {
        link_->send(to->peer_address, wire::message_kind::configuration,
                    wire::encode_configuration_message(message));
    }
}

configuration_agent::configuration_agent(const instance_identity& identity,
                                         std::shared_ptr<peer_link> link,
                                         std::shared_ptr<tier_state_publisher> publisher,
                                         configuration_store_port store)
    : random_(model::stable_hash(identity.instance.text(), ~identity.incarnation_number.value)),
      self_(identity.instance),
      transport_(std::move(link), std::move(publisher), std::move(store)),
      active_(identity.deployment),
      distributor_(clock_, random_, transport_, active_, identity.instance, identity.data_centre) {}

void configuration_agent::on_message(const wire::envelope& envelope) {
    const auto message = wire::decode_configuration_message(envelope.payload);
    if (!message) {
        spdlog::warn("refused a malformed configuration message of {}", envelope.sender.text());
        return;
    }
    std::visit([&](const auto& body) { distributor_.on_message(envelope.sender, body); },
               message.value());
}

configuration::configuration_status configuration_agent::status() const {
    configuration::configuration_status status{self_, active_.revision(), {}};
    for (const auto& [name, section] : active_.current().sections) {
        status.sections.emplace(name, section.revision);
    }
    return status;
}

}  // namespace poplarfront::daemon
