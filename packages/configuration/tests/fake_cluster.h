#pragma once

#include <algorithm>
#include <chrono>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "configuration/distributor.h"
#include "virtual_time.h"
#include "wire/configuration_codec.h"

namespace poplarfront::configuration::testing {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// The parts that a test may switch off to show that a check notices.
struct mechanisms {
    bool announcements = true;
    bool gossip = true;
    bool rising_revisions = true;
    bool compare_and_swap = true;
    bool nonces = true;
};

/// Instances with their spread, a store and a network that loses and delays messages.
class fake_cluster {
public:
    struct options {
        std::size_t instances = 17;
        std::size_t data_centres = 4;
        std::uint64_t seed = 1;
        double lost_messages = 0.02;
        double slow_messages = 0.01;
        /// How often the store goes down for 8 s in the moment of an acceptance.
        double outages_on_acceptance = 0;
        mechanisms enabled = {};
    };

    enum class condition { running, frozen, cut, dead };

    class node;

    /// The transport of one instance.
    struct port {
        fake_cluster& cluster;
        node& self;

        template <class Message>
        void send(const model::instance_id& peer, const Message& message) {
            cluster.transmit(self, peer, message);
        }
        void watch_head(bool watching) {
            self.watching = watching;
            if (watching) {
                cluster.tell_head(self);
            }
        }
        void read_section(const std::string& name, const section_head& section) {
            cluster.read_section(self, name, section);
        }
        void publish(const std::shared_ptr<const configuration_snapshot>& snapshot) {
            cluster.on_published(self, *snapshot);
        }
    };

    class node {
    public:
        node(fake_cluster& cluster, model::instance_id id, model::data_centre_id data_centre)
            : id(std::move(id)),
              data_centre(std::move(data_centre)),
              started(cluster.time.now()),
              active(cluster.deployment),
              transport{cluster, *this},
              logic(cluster.time, cluster.time.random, transport, active, this->id,
                    this->data_centre) {}

        model::instance_id id;
        model::data_centre_id data_centre;
        kernel::time_point started;
        condition state = condition::running;
        bool watching = false;
        kernel::time_point armed;
        std::vector<std::function<void()>> held;
        active_configuration active;
        port transport;
        distributor<virtual_time, kernel::seeded_random_source, port> logic;
        /// When each published revision came into force.
        std::map<std::uint64_t, kernel::time_point> applied_at;
        /// Intervals in which the instance could not take part.
        std::vector<std::pair<kernel::time_point, kernel::time_point>> away;
    };

    struct acceptance {
        head accepted;
        kernel::time_point at;
        std::optional<kernel::time_point> announced;
    };

    explicit fake_cluster(const options& given) : time(given.seed), settings(given) {
        store.ignores_versions = !given.enabled.compare_and_swap;
        store.on_write = [this](const std::string& key) {
            if (key == head_key) {
                on_head_written();
            }
        };
        for (std::size_t n = 0; n < given.instances; ++n) {
            const auto data_centre = "dc-" + std::to_string(n % given.data_centres);
            nodes.push_back(
                std::make_unique<node>(*this, model::instance_id::trusted("i-" + std::to_string(n)),
                                       model::data_centre_id::trusted(data_centre)));
        }
        update_members();
    }

    /// Tells all running instances who is alive, and starts their timers.
    void update_members() {
        model::instance_view view;
        by_id.clear();
        for (auto& it : nodes) {
            if (it->state != condition::dead) {
                by_id[it->id] = it.get();
                view.instances.emplace(it->id, model::instance_info{it->id, it->data_centre});
            }
        }
        for (auto& [id, it] : by_id) {
            it->logic.on_members(view);
            arm(*it);
        }
    }

    void change_state(node& it, condition next) {
        const bool was_away = it.state != condition::running;
        it.state = next;
        if (next != condition::running && !was_away) {
            it.away.emplace_back(time.now(), kernel::time_point::max());
        }
        if (next == condition::running && was_away) {
            it.away.back().second = time.now();
            const auto events = std::exchange(it.held, {});
            for (const auto& event : events) {
                event();
            }
            arm(it);
            if (it.watching) {
                tell_head(it);
            }
        }
    }

    void store_outage(kernel::duration length) {
        store.down = true;
        outages.emplace_back(time.now(), time.now() + length);
        time.after(length, [this] {
            store.down = false;
            for (auto& it : nodes) {
                if (it->watching) {
                    tell_head(*it);
                }
            }
        });
    }

    /// Replaces a dead instance by a new one without state.
    void restart(const node& dead) {
        nodes.push_back(std::make_unique<node>(*this, dead.id, dead.data_centre));
        update_members();
    }

    /// Announces an acceptance, as the operators' client does: to one instance after the other,
    /// until three have acknowledged it.
    void announce(const head& accepted, const section_texts& texts) {
        constexpr std::size_t receivers = 3;
        std::vector<node*> reachable;
        for (const auto& it : nodes) {
            if (it->state == condition::running) {
                reachable.push_back(it.get());
            }
        }
        for (std::size_t n = 0; n < std::min(receivers, reachable.size()); ++n) {
            std::swap(reachable[n],
                      reachable[n + kernel::uniform_below(time.random, reachable.size() - n)]);
            if (settings.enabled.announcements) {
                run_on(*reachable[n], [&it = *reachable[n], &accepted, &texts] {
                    it.logic.on_announcement(accepted, texts);
                });
            }
        }
        for (auto& entry : history) {
            if (entry.accepted == accepted && !reachable.empty()) {
                entry.announced = time.now();
            }
        }
    }

    void complain(std::string violation) { violations.push_back(std::move(violation)); }

    virtual_time time;
    fake_store store{time};
    options settings;
    model::deployment_id deployment = model::deployment_id::trusted("d");
    std::vector<std::unique_ptr<node>> nodes;
    std::map<model::instance_id, node*> by_id;
    std::vector<acceptance> history;
    std::vector<std::pair<kernel::time_point, kernel::time_point>> outages;
    std::vector<std::string> violations;
    std::uint64_t bytes_sent = 0;
    bool counts_bytes = false;

private:
    void arm(node& it) {
        const auto next = it.logic.next_timer();
        if (it.armed == next) {
            return;
        }
        it.armed = next;
        time.at(next, [this, &it, next] {
            if (it.armed != next) {
                return;
            }
            it.armed = {};
            run_on(it, [&it] { it.logic.on_timer(); });
        });
    }

    /// Runs an input of an instance now, when it thaws, or never.
    void run_on(node& it, std::function<void()> input) {
        if (it.state == condition::frozen) {
            it.held.push_back([this, &it, input = std::move(input)] { run_on(it, input); });
            return;
        }
        if (it.state == condition::dead) {
            return;
        }
        input();
        arm(it);
    }

    template <class Message>
    void transmit(node& from, const model::instance_id& to, const Message& message) {
        bytes_sent += counts_bytes ? size_of(message) : 0;
        const auto found = by_id.find(to);
        if (found == by_id.end() || !settings.enabled.gossip ||
            time.chance(settings.lost_messages)) {
            return;
        }
        auto& receiver = *found->second;
        const auto delay = time.chance(settings.slow_messages)
                               ? time.between(milliseconds{100}, milliseconds{3'000})
                               : time.between(microseconds{250}, microseconds{2'000});
        time.after(delay, [this, &from, &receiver, message] {
            if (from.state == condition::cut || receiver.state == condition::cut) {
                return;
            }
            run_on(receiver, [this, &from, &receiver, message] {
                forget_if_disabled(receiver, message);
                receiver.logic.on_message(from.id, message);
            });
        });
    }

    /// With rising revisions switched off, an instance takes whatever arrives last.
    template <class Message>
    void forget_if_disabled(node& receiver, const Message& message) {
        if constexpr (std::is_same_v<Message, gossip_message>) {
            const bool older =
                message.update && message.sender_revision < receiver.active.revision();
            if (older && !settings.enabled.rising_revisions) {
                receiver.active = active_configuration{deployment};
            }
        }
    }

    /// Encoded size with the envelope's fields.
    static std::size_t size_of(const gossip_message& message) {
        constexpr std::size_t envelope_bytes = 60;
        return envelope_bytes + (message.update ? wire::encode_head(*message.update).size() : 0);
    }
    static std::size_t size_of(const section_fetch& message) {
        constexpr std::size_t envelope_bytes = 70;
        return envelope_bytes + message.section.size();
    }
    static std::size_t size_of(const section_content& message) {
        constexpr std::size_t envelope_bytes = 70;
        return envelope_bytes + message.section.size() + message.text.size();
    }

    void on_head_written() {
        const auto written = wire::configuration_store_codec{}.head(store.values[head_key].bytes);
        history.push_back({*written, time.now(), std::nullopt});
        if (time.chance(settings.outages_on_acceptance) && !store.down) {
            store_outage(seconds{8});
        }
        for (auto& it : nodes) {
            if (it->watching) {
                tell_head(*it);
            }
        }
    }

    void tell_head(node& it) {
        time.after(time.between(milliseconds{1}, milliseconds{4}), [this, &it] {
            if (store.down || it.state == condition::cut || !it.watching) {
                return;
            }
            const auto found = wire::configuration_store_codec{}.head(store.values[head_key].bytes);
            if (found) {
                run_on(it, [&it, found] { it.logic.on_store_head(*found); });
            }
        });
    }

    void read_section(node& it, const std::string& name, const section_head& section) {
        time.after(time.between(milliseconds{1}, milliseconds{4}), [this, &it, name, section] {
            if (store.down || it.state == condition::cut) {
                return;
            }
            section_content content{deployment, name, section.revision, {}};
            for (const auto& key : section.blob_keys) {
                const auto blob = wire::configuration_store_codec{}.blob(store.values[key].bytes);
                content.text += blob ? blob->text : "";
            }
            run_on(it, [&it, content] { it.logic.on_content(content); });
        });
    }

    void on_published(node& it, const configuration_snapshot& snapshot) {
        const auto revision = snapshot.revision.value;
        if (!it.applied_at.empty() && it.applied_at.rbegin()->first >= revision) {
            complain(it.id.text() + " went back to revision " + std::to_string(revision));
        }
        it.applied_at.emplace(revision, time.now());
        const auto entry = std::find_if(history.begin(), history.end(), [&](const auto& past) {
            return past.accepted.document_revision.value == revision;
        });
        if (entry == history.end()) {
            complain(it.id.text() + " has revision " + std::to_string(revision) +
                     ", which was never accepted");
            return;
        }
        for (const auto& [name, section] : entry->accepted.sections) {
            if (digest_of(it.active.section_text(name).value_or("")) != section.digest) {
                complain(it.id.text() + " has other content of section " + name);
            }
        }
    }
};

}  // namespace poplarfront::configuration::testing
