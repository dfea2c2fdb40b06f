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

/// Mechanisms that a test can disable to show that the checks detect their absence.
struct mechanisms {
    bool announcements = true;
    bool gossip = true;
    bool monotonic_revisions = true;
    bool compare_and_swap = true;
    bool nonces = true;
};

/// Instances with their distributors, a store and a network that loses and delays messages, in
/// virtual time.
class fake_cluster {
public:
    struct options {
        std::size_t instances = 17;
        std::size_t data_centres = 4;
        std::uint64_t seed = 1;
        /// Probability that a message is lost.
        double message_loss_probability = 0.02;
        /// Probability that a message takes 100 ms to 3 s instead of 0.25 ms to 2 ms.
        double slow_message_probability = 0.01;
        /// Probability that the store goes down for 8 s when a head is written.
        double outage_probability = 0;
        mechanisms enabled = {};
    };

    enum class instance_state {
        running,
        /// Inputs are deferred until the instance runs again.
        paused,
        /// Neither peers nor the store are reachable.
        isolated,
        crashed,
    };

    class simulated_instance;

    /// The transport of one instance.
    struct instance_transport {
        fake_cluster& cluster;
        simulated_instance& self;

        template <class Message>
        void send(const model::instance_id& peer, const Message& message) {
            cluster.transmit(self, peer, message);
        }
        void watch_head(bool watching) {
            self.watching = watching;
            if (watching) {
                cluster.notify_head(self);
            }
        }
        void read_section(const std::string& name, const section_head& section) {
            cluster.read_section(self, name, section);
        }
        void publish(const std::shared_ptr<const configuration_snapshot>& snapshot) {
            cluster.on_published(self, *snapshot);
        }
    };

    class simulated_instance {
    public:
        simulated_instance(fake_cluster& cluster, model::instance_id id,
                           model::data_centre_id data_centre)
            : id(std::move(id)),
              data_centre(std::move(data_centre)),
              started(cluster.time.now()),
              active(cluster.deployment),
              transport{cluster, *this},
              instance_distributor(cluster.time, cluster.time.random, transport, active, this->id,
                                   this->data_centre) {}

        model::instance_id id;
        model::data_centre_id data_centre;
        kernel::time_point started;
        instance_state state = instance_state::running;
        bool watching = false;
        /// The time of the armed timer, if any.
        kernel::time_point armed_timer;
        /// Inputs that arrived while the instance was paused.
        std::vector<std::function<void()>> deferred_inputs;
        active_configuration active;
        instance_transport transport;
        distributor<virtual_time, kernel::seeded_random_source, instance_transport>
            instance_distributor;
        /// When each published revision was applied.
        std::map<std::uint64_t, kernel::time_point> applied_at;
        /// Periods in which the instance was not running.
        std::vector<std::pair<kernel::time_point, kernel::time_point>> unavailable_periods;
    };

    /// A head that was written to the store.
    struct history_entry {
        head accepted_head;
        kernel::time_point accepted_at;
        std::optional<kernel::time_point> announced_at;
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
            instances.push_back(std::make_unique<simulated_instance>(
                *this, model::instance_id::trusted("i-" + std::to_string(n)),
                model::data_centre_id::trusted(data_centre)));
        }
        update_members();
    }

    /// Passes the live instances to all instances that have not crashed, and arms their timers.
    void update_members() {
        model::instance_view view;
        by_id.clear();
        for (auto& instance : instances) {
            if (instance->state != instance_state::crashed) {
                by_id[instance->id] = instance.get();
                view.instances.emplace(instance->id,
                                       model::instance_info{instance->id, instance->data_centre});
            }
        }
        for (auto& [id, instance] : by_id) {
            instance->instance_distributor.on_members(view);
            arm(*instance);
        }
    }

    void change_state(simulated_instance& instance, instance_state next) {
        const bool was_unavailable = instance.state != instance_state::running;
        instance.state = next;
        if (next != instance_state::running && !was_unavailable) {
            instance.unavailable_periods.emplace_back(time.now(), kernel::time_point::max());
        }
        if (next == instance_state::running && was_unavailable) {
            instance.unavailable_periods.back().second = time.now();
            const auto events = std::exchange(instance.deferred_inputs, {});
            for (const auto& event : events) {
                event();
            }
            arm(instance);
            if (instance.watching) {
                notify_head(instance);
            }
        }
    }

    void start_store_outage(kernel::duration length) {
        store.down = true;
        outages.emplace_back(time.now(), time.now() + length);
        time.after(length, [this] {
            store.down = false;
            for (auto& instance : instances) {
                if (instance->watching) {
                    notify_head(*instance);
                }
            }
        });
    }

    /// Replaces a crashed instance by a new one that has no state.
    void restart(const simulated_instance& crashed) {
        instances.push_back(
            std::make_unique<simulated_instance>(*this, crashed.id, crashed.data_centre));
        update_members();
    }

    /// Announces an accepted head as the control client does: to one instance after the other until
    /// three have acknowledged it. Here three running instances acknowledge at once.
    void announce(const head& accepted, const section_texts& texts) {
        constexpr std::size_t receivers = 3;
        std::vector<simulated_instance*> reachable;
        for (const auto& instance : instances) {
            if (instance->state == instance_state::running) {
                reachable.push_back(instance.get());
            }
        }
        for (std::size_t n = 0; n < std::min(receivers, reachable.size()); ++n) {
            std::swap(reachable[n],
                      reachable[n + kernel::uniform_below(time.random, reachable.size() - n)]);
            if (settings.enabled.announcements) {
                run_on(*reachable[n], [&instance = *reachable[n], &accepted, &texts] {
                    instance.instance_distributor.on_announcement(accepted, texts);
                });
            }
        }
        for (auto& entry : history) {
            if (entry.accepted_head == accepted && !reachable.empty()) {
                entry.announced_at = time.now();
            }
        }
    }

    void report_violation(std::string violation) { violations.push_back(std::move(violation)); }

    virtual_time time;
    fake_store store{time};
    options settings;
    model::deployment_id deployment = model::deployment_id::trusted("d");
    std::vector<std::unique_ptr<simulated_instance>> instances;
    std::map<model::instance_id, simulated_instance*> by_id;
    std::vector<history_entry> history;
    std::vector<std::pair<kernel::time_point, kernel::time_point>> outages;
    std::vector<std::string> violations;
    std::uint64_t bytes_sent = 0;
    bool counts_bytes = false;

private:
    void arm(simulated_instance& instance) {
        const auto next = instance.instance_distributor.next_timer();
        if (instance.armed_timer == next) {
            return;
        }
        instance.armed_timer = next;
        time.at(next, [this, &instance, next] {
            if (instance.armed_timer != next) {
                return;
            }
            instance.armed_timer = {};
            run_on(instance, [&instance] { instance.instance_distributor.on_timer(); });
        });
    }

    /// Runs an input of an instance. Defers it while the instance is paused, and drops it if the
    /// instance has crashed.
    void run_on(simulated_instance& instance, std::function<void()> input) {
        if (instance.state == instance_state::paused) {
            instance.deferred_inputs.push_back(
                [this, &instance, input = std::move(input)] { run_on(instance, input); });
            return;
        }
        if (instance.state == instance_state::crashed) {
            return;
        }
        input();
        arm(instance);
    }

    template <class Message>
    void transmit(simulated_instance& from, const model::instance_id& to, const Message& message) {
        bytes_sent += counts_bytes ? size_of(message) : 0;
        const auto found = by_id.find(to);
        if (found == by_id.end() || !settings.enabled.gossip ||
            time.chance(settings.message_loss_probability)) {
            return;
        }
        auto& receiver = *found->second;
        const auto delay = time.chance(settings.slow_message_probability)
                               ? time.random_duration(milliseconds{100}, milliseconds{3'000})
                               : time.random_duration(microseconds{250}, microseconds{2'000});
        time.after(delay, [this, &from, &receiver, message] {
            if (from.state == instance_state::isolated ||
                receiver.state == instance_state::isolated) {
                return;
            }
            run_on(receiver, [this, &from, &receiver, message] {
                reset_unless_monotonic(receiver, message);
                receiver.instance_distributor.on_message(from.id, message);
            });
        });
    }

    /// With monotonic revisions disabled, an instance applies an older update too: its state is
    /// reset first.
    template <class Message>
    void reset_unless_monotonic(simulated_instance& receiver, const Message& message) {
        if constexpr (std::is_same_v<Message, gossip_message>) {
            const bool older =
                message.update && message.sender_revision < receiver.active.revision();
            if (older && !settings.enabled.monotonic_revisions) {
                receiver.active = active_configuration{deployment};
            }
        }
    }

    /// The estimated encoded size in bytes, including the envelope.
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
        if (time.chance(settings.outage_probability) && !store.down) {
            start_store_outage(seconds{8});
        }
        for (auto& instance : instances) {
            if (instance->watching) {
                notify_head(*instance);
            }
        }
    }

    void notify_head(simulated_instance& instance) {
        time.after(time.random_duration(milliseconds{1}, milliseconds{4}), [this, &instance] {
            if (store.down || instance.state == instance_state::isolated || !instance.watching) {
                return;
            }
            const auto found = wire::configuration_store_codec{}.head(store.values[head_key].bytes);
            if (found) {
                run_on(instance,
                       [&instance, found] { instance.instance_distributor.on_store_head(*found); });
            }
        });
    }

    void read_section(simulated_instance& instance, const std::string& name,
                      const section_head& section) {
        time.after(time.random_duration(milliseconds{1}, milliseconds{4}), [this, &instance, name,
                                                                            section] {
            if (store.down || instance.state == instance_state::isolated) {
                return;
            }
            section_content content{deployment, name, section.revision, {}};
            for (const auto& key : section.blob_keys) {
                const auto blob = wire::configuration_store_codec{}.blob(store.values[key].bytes);
                content.text += blob ? blob->text : "";
            }
            run_on(instance,
                   [&instance, content] { instance.instance_distributor.on_content(content); });
        });
    }

    void on_published(simulated_instance& instance, const configuration_snapshot& snapshot) {
        const auto revision = snapshot.revision.value;
        if (!instance.applied_at.empty() && instance.applied_at.rbegin()->first >= revision) {
            report_violation(instance.id.text() + " went back to revision " +
                             std::to_string(revision));
        }
        instance.applied_at.emplace(revision, time.now());
        const auto entry = std::find_if(history.begin(), history.end(), [&](const auto& past) {
            return past.accepted_head.document_revision.value == revision;
        });
        if (entry == history.end()) {
            report_violation(instance.id.text() + " has revision " + std::to_string(revision) +
                             ", which was never accepted");
            return;
        }
        for (const auto& [name, section] : entry->accepted_head.sections) {
            if (digest_of(instance.active.section_text(name).value_or("")) != section.digest) {
                report_violation(instance.id.text() + " has other content of section " + name);
            }
        }
    }
};

}  // namespace poplarfront::configuration::testing
