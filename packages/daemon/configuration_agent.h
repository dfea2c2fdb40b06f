#pragma once

#include <functional>
#include <memory>
#include <string>

#include "configuration/active_configuration.h"
#include "configuration/announcement.h"
#include "configuration/configuration_status.h"
#include "configuration/distributor.h"
#include "daemon/instance_identity.h"
#include "daemon/peer_link.h"
#include "daemon/tier_state_publisher.h"
#include "kernel/clock_and_random_sources.h"

namespace poplarfront::daemon {

/// What the configuration asks of the store; the module runs it on fibers.
struct configuration_store_port {
    std::function<void(bool)> watch_head;
    std::function<void(const std::string&, const configuration::section_head&)> read_section;
};

/// Passes what spread asks for to the peer link, the store and the published state.
class configuration_transport {
public:
    configuration_transport(std::shared_ptr<peer_link> link,
                            std::shared_ptr<tier_state_publisher> publisher,
                            configuration_store_port store)
        : link_(std::move(link)), publisher_(std::move(publisher)), store_(std::move(store)) {}

    template <class Message>
    void send(const model::instance_id& peer, const Message& message) {
        send_message(peer, configuration::configuration_message{message});
    }
    void watch_head(bool watching) { store_.watch_head(watching); }
    void read_section(const std::string& name, const configuration::section_head& section) {
        store_.read_section(name, section);
    }
    void publish(std::shared_ptr<const configuration::configuration_snapshot> snapshot) {
        publisher_->on_configuration(std::move(snapshot));
    }

private:
    void send_message(const model::instance_id& peer,
                      const configuration::configuration_message& message);

    std::shared_ptr<peer_link> link_;
    std::shared_ptr<tier_state_publisher> publisher_;
    configuration_store_port store_;
};

/// The configuration in force on this instance and its spreading.
///
/// Thread safety: runs in a state_machine_loop on the control thread; `status` on the control
/// thread.
class configuration_agent {
public:
    configuration_agent(const instance_identity& identity, std::shared_ptr<peer_link> link,
                        std::shared_ptr<tier_state_publisher> publisher,
                        configuration_store_port store);

    void on_message(const wire::envelope& envelope);
    void on_store_head(const configuration::head& head) { distributor_.on_store_head(head); }
    void on_content(const configuration::section_content& content) {
        distributor_.on_content(content);
    }
    void on_announcement(const configuration::announcement& announcement) {
        distributor_.on_announcement(announcement.accepted, announcement.texts);
    }
    void on_instances(const model::instance_view& view) { distributor_.on_members(view); }

    [[nodiscard]] kernel::time_point next_timer() const { return distributor_.next_timer(); }
    void on_timer() { distributor_.on_timer(); }
    void after_step() {}

    [[nodiscard]] configuration::configuration_status status() const;
    [[nodiscard]] bool is_relay() const { return distributor_.is_relay(); }
    [[nodiscard]] configuration::distributor_counters counts() const {
        return distributor_.counters();
    }

private:
    using distributor_type =
        configuration::distributor<kernel::steady_clock_source, kernel::seeded_random_source,
                                   configuration_transport>;

    kernel::steady_clock_source clock_;
    kernel::seeded_random_source random_;
    model::instance_id self_;
    configuration_transport transport_;
    configuration::active_configuration active_;
    distributor_type distributor_;
};

}  // namespace poplarfront::daemon
