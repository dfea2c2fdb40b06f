#pragma once

#include <concepts>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <utility>
#include <variant>
#include <vector>

#include "kernel/clock_and_random_sources.h"
#include "membership/member_table.h"

namespace poplarfront::membership {

/// A peer message on its way.
struct peer_message {
    model::instance_info from;
    model::instance_info to;
    message_header header;
    message_body body;
    friend auto operator<=>(const peer_message&, const peer_message&) = default;
};

/// Decides how long a message travels; absent: it is lost.
template <class T>
concept link_model = requires(T& link, const peer_message& message, kernel::time_point now) {
    { link.transit(message, now) } -> std::same_as<std::optional<kernel::duration>>;
};

/// Instances with a member_table each, on virtual time and without sockets, for simulations and
/// for capacity measurements. Equal seeds and calls give equal runs.
///
/// Thread safety: used on one thread. The link must outlive the cluster.
template <link_model Link>
class virtual_cluster {
    class link_transport;

public:
    using table_type =
        member_table<kernel::manual_clock, kernel::seeded_random_source, link_transport>;

    virtual_cluster(Link& link, std::uint64_t seed, member_options options)
        : link_(link), random_(seed), options_(options) {}

    /// Starts a process, in place of the one of this name if there is one.
    void start(const model::instance_info& self, const std::vector<instance_list_entry>& list) {
        stop(self.instance);
        auto added = std::make_unique<node>(*this, self);
        added->table.on_instance_list(list);
        added->table.announce();
        auto& place = nodes_[self.instance];
        place = std::move(added);
        arm(*place);
    }

    /// Ends a process without notice.
    void stop(const model::instance_id& id) { nodes_.erase(id); }

    /// Stops the processing of a process until `until`; messages to it wait.
    void freeze(const model::instance_id& id, kernel::time_point until) {
        nodes_.at(id)->frozen_until = until;
    }

    /// Processes all events up to `end`.
    void run_until(kernel::time_point end) {
        while (!events_.empty() && events_.top().at <= end) {
            auto next = events_.top();
            events_.pop();
            clock_.set(std::max(next.at, clock_.now()));
            process(std::move(next));
        }
        clock_.set(std::max(end, clock_.now()));
    }

    /// Calls `change(table)` as an input of this process. Precondition: it runs.
    template <class Change>
    void input(const model::instance_id& id, Change change) {
        auto& it = *nodes_.at(id);
        change(it.table);
        arm(it);
    }

    /// The newest view of a process. Precondition: it runs.
    const model::instance_view& view(const model::instance_id& id) {
        auto& it = *nodes_.at(id);
        if (auto changed = it.table.take_changed_view()) {
            it.view = std::move(*changed);
        }
        return it.view;
    }

    [[nodiscard]] bool runs(const model::instance_id& id) const { return nodes_.contains(id); }
    [[nodiscard]] const table_type& table(const model::instance_id& id) const {
        return nodes_.at(id)->table;
    }
    [[nodiscard]] kernel::time_point now() const { return clock_.now(); }

private:
    struct node {
        node(virtual_cluster& cluster, const model::instance_info& self)
            : process(++cluster.last_process_),
              random(cluster.random_.next()),
              transport{cluster, self},
              table(cluster.clock_, random, transport, self, cluster.options_) {}

        std::uint64_t process;
        kernel::seeded_random_source random;
        link_transport transport;
        table_type table;
        model::instance_view view;
        kernel::time_point frozen_until;
        kernel::time_point armed_at = kernel::time_point::max();
    };

    /// The arrival of a message, or else the timer of a process.
    struct event {
        kernel::time_point at;
        std::uint64_t sequence = 0;
        model::instance_id instance;
        std::uint64_t process = 0;
        std::shared_ptr<const peer_message> message;

        friend bool operator<(const event& a, const event& b) {
            return std::pair{a.at, a.sequence} > std::pair{b.at, b.sequence};
        }
    };

    class link_transport {
    public:
        link_transport(virtual_cluster& cluster, model::instance_info self)
            : cluster_(cluster), self_(std::move(self)) {}

        void send_gossip(const model::instance_info& to, const message_header& header,
                         const gossip_message& gossip) {
            cluster_.send({self_, to, header, gossip_body{false, gossip}});
        }
        void send_gossip_reply(const model::instance_info& to, const message_header& header,
                               const gossip_message& gossip) {
            cluster_.send({self_, to, header, gossip_body{true, gossip}});
        }
        void send_probe_request(const model::instance_info& to, const message_header& header,
                                const probe_request& request) {
            cluster_.send({self_, to, header, request});
        }
        void send_probe_reply(const model::instance_info& to, const message_header& header,
                              const probe_reply& reply) {
            cluster_.send({self_, to, header, reply});
        }

    private:
        virtual_cluster& cluster_;
        model::instance_info self_;
    };

    void send(peer_message message) {
        const auto transit = link_.transit(message, clock_.now());
        if (transit) {
            const auto to = message.to.instance;
            events_.push({clock_.now() + *transit, ++last_event_, to, 0,
                          std::make_shared<const peer_message>(std::move(message))});
        }
    }

    void arm(node& it) {
        const auto at = std::max(it.table.next_timer(), it.frozen_until);
        if (at < it.armed_at || it.armed_at <= clock_.now()) {
            it.armed_at = at;
            events_.push({at, ++last_event_, it.table.self().instance, it.process, nullptr});
        }
    }

    void process(event next) {
        const auto found = nodes_.find(next.instance);
        if (found == nodes_.end()) {
            return;
        }
        auto& it = *found->second;
        const bool timer = next.message == nullptr;
        if (timer && (next.process != it.process || next.at != it.armed_at)) {
            return;
        }
        if (it.frozen_until > clock_.now()) {
            it.armed_at = timer ? it.frozen_until : it.armed_at;
            next.at = it.frozen_until;
            events_.push(std::move(next));
            return;
        }
        if (!timer) {
            deliver(it.table, *next.message);
        } else if (it.table.next_timer() <= clock_.now()) {
            it.table.on_timer();
        }
        arm(it);
    }

    static void deliver(table_type& table, const peer_message& message) {
        const auto& header = message.header;
        if (const auto* gossip = std::get_if<gossip_body>(&message.body)) {
            if (gossip->reply) {
                table.on_gossip_reply(header, gossip->message);
            } else {
                table.on_gossip(header, gossip->message);
            }
        } else if (const auto* request = std::get_if<probe_request>(&message.body)) {
            table.on_probe_request(header, *request);
        } else {
            table.on_probe_reply(header, std::get<probe_reply>(message.body));
        }
    }

    Link& link_;
    kernel::manual_clock clock_;
    kernel::seeded_random_source random_;
    member_options options_;
    std::map<model::instance_id, std::unique_ptr<node>> nodes_;
    std::priority_queue<event> events_;
    std::uint64_t last_event_ = 0;
    std::uint64_t last_process_ = 0;
};

}  // namespace poplarfront::membership
