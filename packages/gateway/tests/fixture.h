#pragma once

#include <chrono>
#include <deque>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "gateway/request_session.h"

namespace poplarfront::gateway {

using std::chrono::milliseconds;

/// Records what a session asks for.
class fake_transport {
public:
    struct sent_request {
        attempt_number attempt = 0;
        std::string server;
        std::string service;
        kernel::time_point until;
    };

    void send(attempt_number attempt, const backend_entry& backend, kernel::time_point until) {
        sent.push_back({attempt, backend.id.text(), backend.service.text(), until});
    }
    void cancel(attempt_number attempt) { cancelled.push_back(attempt); }
    void answer(gateway_answer given) { answers.push_back(std::move(given)); }

    std::vector<sent_request> sent;
    std::vector<attempt_number> cancelled;
    std::vector<gateway_answer> answers;
};

using session = request_session<fake_transport>;

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
/// and one route over all of them.
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

    /// The view to start sessions with.
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
    client_request made;
    made.id = "request-1";
    made.host = "host";
    made.target = "/a/b";
    made.fingerprint = 1;
    made.received = start_time;
    made.client_timeout = client_timeout;
    return made;
}

inline attempt_result success(const std::string& signature, const std::string& body = "") {
    attempt_result result;
    result.end = attempt_end::replied;
    result.reply.status = 200;
    result.reply.signature = signature;
    result.reply.body = body;
    return result;
}

inline attempt_result status(unsigned code, bool executed) {
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

/// A session with all that it needs.
struct running_session {
    running_session(const fleet& fleet, const route& wanted, client_request made = request(),
                    session_options options = test_options())
        : state(std::move(options), 1),
          view(fleet.published()),
          route_copy(wanted),
          session(state, transport, view, route_copy, std::move(made)) {
        session.start(start_time);
    }

    /// Ends the attempt that was sent as number `index`, `after` the start.
    void end(std::size_t index, attempt_result result, milliseconds after) {
        session.on_result(transport.sent.at(index).attempt, std::move(result), start_time + after);
    }

    /// Runs all timers that are due up to `after` the start.
    void run_timers(milliseconds after) {
        while (session.next_timer() && *session.next_timer() <= start_time + after) {
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
