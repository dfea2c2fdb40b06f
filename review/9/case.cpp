// The store loses the response of a watch, which carries a new configuration. Reads that accept an
// outdated state get one that is 3 s old.

#include "../common-2/harness.h"

namespace {

using namespace review;

/// Bounds of the site.
constexpr ms contact{4'000};
constexpr ms config_apply{3'000};
/// Left to requests on their way, in favour of the system.
constexpr ms margin{50};
constexpr ms stale_age{3'000};
constexpr ms observed{9'000};

std::string configuration(int version, const std::string& service) {
    boost::json::array services;
    for (const auto* name : {"old", "new"}) {
        services.push_back(boost::json::object{{"name", name},
                                               {"healthPath", "/health"},
                                               {"maxConns", 232},
                                               {"protocol", "h1"},
                                               {"tls", false}});
    }
    return boost::json::serialize(boost::json::object{
        {"version", version},
        {"routes", boost::json::array{boost::json::object{{"name", "r-invoice"},
                                                          {"hostname", "mill.example"},
                                                          {"pathPrefix", "/invoice/"},
                                                          {"type", "safe"},
                                                          {"timeoutMs", 2000},
                                                          {"targetLatencyMs", 400},
                                                          {"priority", 2},
                                                          {"service", service},
                                                          {"maxAttempts", 2}}}},
        {"services", services},
        {"limits", boost::json::object{{"maxHeaderBytes", 16384},
                                       {"maxBodyBytes", 262144},
                                       {"headerTimeoutMs", 3000},
                                       {"idleTimeoutMs", 15000}}}});
}

bool run(bench& made) {
    auto& platform = *new store{made.ip(200)};
    platform.stale_age = stale_age;
    const auto serve = [](const std::string& name) {
        return [name](connection& caller) {
            while (const auto call = caller.read_message(ms{30'000})) {
                sleep_for(ms{5});
                const auto id = call->field("Request-Id");
                if (!caller.write("HTTP/1.1 200 OK\r\nServer-Stamp: " + name + "." + id +
                                  "\r\nRequest-Id: " + id +
                                  "\r\nKeep-Alive: timeout=5\r\nContent-Length: " +
                                  std::to_string(name.size()) + "\r\n\r\n" + name)) {
                    return;
                }
            }
        };
    };
    auto& old_leaf = *new server{made.ip(100), serve("old")};
    auto& new_leaf = *new server{made.ip(101), serve("new")};
    platform.put("servers/i-1", registration("old", old_leaf.address(), "crack-hall"));
    platform.put("servers/i-2", registration("new", new_leaf.address(), "crack-hall"));
    platform.put("op/config", configuration(7, "old"));
    // So that the first listing, which may be outdated, has contents.
    sleep_for(stale_age + ms{200});
    const auto front = made.start_front(1, platform.address(), "crack-hall");
    made.wait_ready(front);
    sleep_for(contact + ms{1000});

    if (made.trouble()) {
        platform.lose_next_events();
    }
    const auto acknowledged = clock_type::now();
    platform.put("op/config", configuration(8, "new"));
    made.note("version 8 is acknowledged: /invoice/ moves from service old to service new");

    int late = 0;
    bool was_new = false;
    const auto since_ack = [&](clock_type::time_point at) {
        return std::chrono::duration_cast<ms>(at - acknowledged);
    };
    auto client = connect_to(front.ip, front.clients);
    for (int n = 0; since_ack(clock_type::now()) < observed; ++n) {
        if (client == nullptr) {
            client = connect_to(front.ip, front.clients);
        }
        const auto id = "req-" + std::to_string(n);
        const auto sent_at = clock_type::now();
        if (client == nullptr ||
            !client->write("GET /invoice/lot HTTP/1.1\r\nHost: mill.example\r\nRequest-Id: " + id +
                           "\r\nDeadline-Ms: 2000\r\n\r\n")) {
            throw setup_error{"no connection to poplarfrontd"};
        }
        const auto answer = client->read_message(ms{4000});
        if (!answer) {
            throw setup_error{"no answer"};
        }
        if (answer->status() == 200 && answer->body == "new" && !was_new) {
            was_new = true;
            made.note("first request that the new service runs, " +
                      std::to_string(since_ack(sent_at).count()) + " ms after the acknowledgement");
        }
        // In touch: the store has lost no response for the whole contactMs before the request.
        const auto bound = made.trouble() ? std::max(contact, config_apply) : config_apply;
        if (answer->status() == 200 && answer->body == "old" &&
            since_ack(sent_at) > bound + margin) {
            ++late;
            made.note(id + ", sent " + std::to_string(since_ack(sent_at).count()) +
                      " ms after the acknowledgement, is run by the old service");
        }
        sleep_for(ms{20});
    }
    if (made.trouble() && platform.lost_responses() == 0) {
        throw setup_error{"no response was lost"};
    }
    made.note("responses of the store that were lost: " +
              std::to_string(platform.lost_responses()));
    made.note("requests beyond the bound that the old service ran: " + std::to_string(late));
    return late > 0;
}

}  // namespace

int main(int argc, char** argv) {
    return run_case(9, argc, argv, run);
}
