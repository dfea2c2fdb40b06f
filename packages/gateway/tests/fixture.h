#pragma once

#include <chrono>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "gateway/request_session.h"

namespace poplarfront::gateway {

using std::chrono::milliseconds;

/// Records the calls of a session.
class fake_transport {
public:
    struct sent_request {
        attempt_number attempt = 0;
        std::string server;
        std::string service;
        kernel::time_point deadline;
    };

    void send(attempt_number attempt, const backend_entry& backend, kernel::time_point deadline) {
        sent.push_back({attempt, backend.id.text(), backend.service.text(), deadline});
    }
    void probe(attempt_number attempt, const backend_entry& /*backend*/) {
        probes.push_back(attempt);
    }
    void cancel(attempt_number attempt) { cancelled.push_back(attempt); }
    void answer(gateway_answer given) {
        answers.push_back(std::move(given));
        if (on_answer) {
            on_answer();
        }
    }
    void call_session(const std::function<void()>& call) {
        const auto kept_alive = owner.lock();
        call();
    }

    std::vector<sent_request> sent;
    /// Probes without a result.
    std::vector<attempt_number> probes;
    std::vector<attempt_number> cancelled;
    std::vector<gateway_answer> answers;
    /// Called after each answer.
    std::function<void()> on_answer;
    /// The owner of the session, if the test releases the session in `on_answer`.
    std::weak_ptr<const void> owner;
};

using session = request_session<fake_transport>;

/// Gives all probes of a session a result. A backend server that has crashed accepts no
/// connections.
inline void end_probes(session& session, fake_transport& transport, bool accepts_connections,
                       kernel::time_point now) {
    while (!transport.probes.empty()) {
        const auto attempt = transport.probes.back();
        transport.probes.pop_back();
        session.on_probe_result(attempt, accepts_connections, now);
    }
}

inline model::service_id service(const std::string& name) {
    return model::service_id::trusted(name);
}

inline std::shared_ptr<const backend_entry> backend(const std::string& id,
                                                    const std::string& service_name,
                                                    const std::string& data_centre = "near") {
    backend_entry entry;
    entry.id = model::server_id::trusted(id);
    entry.service = service(service_name);
    entry.address = "127.0.0.1:1";
    entry.data_centre = model::data_centre_id::trusted(data_centre);
    return std::make_shared<const backend_entry>(std::move(entry));
}

/// A fleet of `shards` services s0, s1, ... with `replicas` backend servers each, named s0-0, ...,
/// with a route that gathers over all services and a route to s0.
struct fleet {
    explicit fleet(std::size_t shards, std::size_t replicas = 2) {
        auto names = std::make_shared<std::vector<model::service_id>>();
        for (std::size_t it = 0; it < shards; ++it) {
            const auto name = "s" + std::to_string(it);
            names->push_back(service(name));
            for (std::size_t copy = 0; copy < replicas; ++copy) {
                view.backends[names->back()].push_back(
                    backend(name + "-" + std::to_string(copy), name));
            }
            configuration.services[names->back()] = service_options{100};
        }
        gather.name = "gather";
        gather.max_attempts = 2;
        gather.timeout = milliseconds{600};
        gather.objective = milliseconds{100};
        gather.target = gather_plan{names, 50, 0.75};
        single = gather;
        single.name = "single";
        single.target = names->front();
    }

    /// Returns the view with the configuration, for sessions.
    [[nodiscard]] std::shared_ptr<const fleet_view> published() const {
        auto copy = view;
        copy.configuration = std::make_shared<const gateway_configuration>(configuration);
        return std::make_shared<const fleet_view>(std::move(copy));
    }

    gateway_configuration configuration;
    fleet_view view;
    route gather;
    route single;
};

inline session_options test_options() {
    session_options options;
    options.data_centre = "near";
    return options;
}

inline const kernel::time_point start_time{std::chrono::seconds{100}};

inline client_request request(milliseconds client_timeout = milliseconds{600}) {
    client_request new_request;
    new_request.id = "request-1";
    new_request.host = "host";
    new_request.target = "/a/b";
    new_request.fingerprint = 1;
    new_request.received = start_time;
    new_request.client_timeout = client_timeout;
    return new_request;
}

inline attempt_result success(const std::string& signature, const std::string& body = "") {
    attempt_result result;
    result.end = attempt_end::replied;
    result.reply.status = 200;
    result.reply.signature = signature;
    result.reply.body = body;
    return result;
}

inline attempt_result reply_with_status(unsigned code, bool executed) {
    attempt_result result;
    result.end = attempt_end::replied;
    result.reply.status = code;
    result.reply.executed = executed;
    result.reply.signature = "failed";
    return result;
}

inline attempt_result ended(attempt_end end) {
    return {end, {}};
}

/// A session together with its state and transport, started at `start_time`.
struct running_session {
    running_session(const fleet& fleet, const route& wanted, client_request new_request = request(),
                    session_options options = test_options())
        : state(std::move(options), 1),
          view(fleet.published()),
          route_copy(wanted),
          session(state, transport, view, route_copy, std::move(new_request)) {
        session.start(start_time);
    }

    /// Delivers the result of the attempt that was sent as number `index`, at `elapsed` after the
    /// start.
    void deliver_result(std::size_t index, attempt_result result, milliseconds elapsed) {
        session.on_result(transport.sent.at(index).attempt, std::move(result),
                          start_time + elapsed);
        end_probes(session, transport, probes_accepted, start_time + elapsed);
    }

    /// Whether backend servers accept connections after one was lost.
    bool probes_accepted = false;

    /// Runs all timers that are due up to `elapsed` after the start.
    void run_timers(milliseconds elapsed) {
        while (session.next_timer() && *session.next_timer() <= start_time + elapsed) {
            const auto due = *session.next_timer();
            session.on_timer(due);
            if (session.next_timer() && *session.next_timer() <= due) {
                break;
            }
        }
    }

    traffic_state state;
    fake_transport transport;
    std::shared_ptr<const fleet_view> view;
    route route_copy;
    gateway::session session;
};

}  // namespace poplarfront::gateway
