// A large configuration changes in quick succession. Checks that requests are handled as the newest
// version says, within the time that the platform allows, at calm instances.

#include "harness.h"

using namespace review;

namespace {

constexpr int instance_count = 4;
/// configApplyMs and drainMs of the platform's pages.
constexpr double config_apply_ms = 3000;
constexpr double drain_ms = 3000;
/// The configuration has this many routes besides the one that the clients use.
constexpr int idle_routes = 5 * 350;
constexpr int shard_count = 30;
/// A storm: a change each 0.33 s for 4 s.
constexpr int storm_changes = 12;
constexpr int storm_gap_ms = 330;
constexpr int first_version = 7;
/// The version that moves the clients' route to another service.
constexpr int moving_version = 12;
/// Without the storm, the same number of changes.
constexpr int calm_gap_ms = 2000;
constexpr int observed_after_ms = 25'000;

struct run {
    std::string id;
    std::string service;
    std::string leaf;
    double at = 0;
};
std::mutex mutex;
std::map<std::string, double> sent_at;
std::vector<run> runs;
std::atomic<bool> clients_stop = false;
std::atomic<int> success_count = 0;

bool run_request(leaf& self, const http_message& request, int fd) {
    const auto id = request.field("request-id");
    {
        const std::lock_guard lock{mutex};
        runs.push_back({id, self.service(), self.id(), record->ms()});
    }
    sleep_ms(20);
    return send_all(fd, response(id, "stamp-" + id, "from " + self.service()));
}

void run_client(int number, int port) {
    int count = 0;
    while (!clients_stop) {
        const socket_owner connection{connect_to(port)};
        if (connection.fd < 0) {
            sleep_ms(20);
            continue;
        }
        message_reader reader{connection.fd};
        while (!clients_stop) {
            const auto id = "c" + std::to_string(number) + "-" + std::to_string(++count);
            {
                const std::lock_guard lock{mutex};
                sent_at[id] = record->ms();
            }
            if (!send_all(connection.fd,
                          "GET /ledger/2f HTTP/1.1\r\nHost: registry.example\r\nRequest-Id: " + id +
                              "\r\nDeadline-Ms: 4000\r\n\r\n")) {
                break;
            }
            http_message answer;
            const auto outcome = reader.read(answer, steady::now() + milliseconds{4000});
            const bool complete = outcome == message_reader::outcome::complete;
            record->line("client got for %s: %s, %s", id.c_str(),
                         complete ? answer.first_line.c_str() : "no complete answer",
                         answer.body.c_str());
            success_count += complete && answer.status() == 200 ? 1 : 0;
            if (!complete || answer.field("connection") == "close") {
                break;
            }
            sleep_ms(30);
        }
    }
}

boost::json::object route(const std::string& name, const std::string& prefix) {
    return {{"name", name},         {"hostname", "registry.example"},
            {"pathPrefix", prefix}, {"type", "safe"},
            {"timeoutMs", 4000},    {"targetLatencyMs", 600},
            {"priority", 2},        {"maxAttempts", 2}};
}

std::string configuration(int version, const std::string& service) {
    boost::json::array shards;
    boost::json::array services{
        boost::json::object{{"name", "old-ledger"}, {"healthPath", "/health"}, {"maxConns", 105}},
        boost::json::object{{"name", "new-ledger"}, {"healthPath", "/health"}, {"maxConns", 105}}};
    for (int it = 0; it < shard_count; ++it) {
        const auto name = "shed" + std::to_string(100 + it);
        shards.push_back(boost::json::string{name});
        services.push_back(
            boost::json::object{{"name", name}, {"healthPath", "/health"}, {"maxConns", 96}});
    }
    boost::json::array routes;
    auto used = route("r-ledger", "/ledger/");
    used["service"] = service;
    routes.push_back(used);
    for (int it = 0; it < idle_routes; ++it) {
        auto idle = route("r-idle" + std::to_string(it), "/idle" + std::to_string(it) + "/");
        idle["gather"] = shards;
        idle["topK"] = 50;
        idle["minCoverage"] = 0.89;
        routes.push_back(idle);
    }
    return boost::json::serialize(
        boost::json::object{{"version", version},
                            {"routes", routes},
                            {"services", services},
                            {"limits", boost::json::object{{"maxHeaderBytes", 16384},
                                                           {"maxBodyBytes", 262144},
                                                           {"headerTimeoutMs", 3000},
                                                           {"idleTimeoutMs", 15000 + version}}}});
}

}  // namespace

int main(int argc, char** argv) {
    const auto given = begin(argc, argv);
    store platform{free_port()};
    std::vector<std::unique_ptr<leaf>> leafs;
    for (int it = 0; it < 6; ++it) {
        const std::string service = it < 3 ? "old-ledger" : "new-ledger";
        leafs.push_back(
            std::make_unique<leaf>("i-" + service + std::to_string(it), service, run_request));
        platform.put("servers/" + leafs.back()->id(), leafs.back()->entry(6, "howrah-sheds"));
    }
    const auto first = configuration(first_version, "old-ledger");
    record->line("the configuration has %zu bytes; the store allows 1048576", first.size());
    if (first.size() > 1048576) {
        cannot_run("the configuration is too large");
    }
    platform.put("op/config", first);
    std::vector<std::unique_ptr<front>> fronts;
    for (int it = 0; it < instance_count; ++it) {
        fronts.push_back(std::make_unique<front>(
            given.root, given.folder, "front-howrah-sheds-" + std::to_string(it + 1),
            "howrah-sheds", platform.address(), small_deployment()));
        fronts.back()->start();
    }
    for (auto& it : fronts) {
        it->await_ready();
    }
    std::vector<std::thread> clients;
    for (int it = 0; it < 2 * instance_count; ++it) {
        clients.emplace_back(run_client, it,
                             fronts[static_cast<std::size_t>(it % instance_count)]->clients_port());
    }
    // Longer than contactMs.
    sleep_ms(6000);

    double moved_at = 0;
    double draining_at = 0;
    const auto& drained = leafs.front();
    for (int it = 0; it < storm_changes; ++it) {
        // One change moves the route; the others change the limits only.
        const int version = first_version + 1 + it;
        const auto next =
            configuration(version, version < moving_version ? "old-ledger" : "new-ledger");
        platform.put("op/config", next);
        record->line("version %d is acknowledged", version);
        if (version == moving_version) {
            moved_at = record->ms();
            platform.put("servers/" + drained->id(), drained->entry(6, "howrah-sheds", "draining"));
            draining_at = record->ms();
            record->line("%s reports that it is draining", drained->id().c_str());
        }
        sleep_ms(given.trouble ? storm_gap_ms : calm_gap_ms);
    }
    sleep_ms(observed_after_ms);
    clients_stop = true;
    for (auto& it : clients) {
        it.join();
    }
    double last_old_ms = 0;
    int old_runs = 0;
    int late_at_drained = 0;
    for (const auto& it : runs) {
        const double sent = sent_at[it.id];
        if (sent > moved_at + config_apply_ms && it.service == "old-ledger") {
            ++old_runs;
            last_old_ms = std::max(last_old_ms, sent - moved_at);
            record->line(
                "CONFIG: %s, sent %.0f ms after the acknowledgement of version %d, is run "
                "by %s",
                it.id.c_str(), sent - moved_at, moving_version, it.leaf.c_str());
        }
        if (it.at > draining_at + drain_ms && it.leaf == drained->id()) {
            ++late_at_drained;
        }
    }
    record->line(
        "runs %zu, successes %d, run by the old service too late %d, reached the draining "
        "leaf too late %d",
        runs.size(), success_count.load(), old_runs, late_at_drained);
    record->line("last request that was run by the old service: %.0f ms after the acknowledgement",
                 last_old_ms);
    std::printf(
        "runs %zu, successes %d, run by the old service too late %d, reached the draining "
        "leaf too late %d\n",
        runs.size(), success_count.load(), old_runs, late_at_drained);
    if (success_count < 500) {
        cannot_run("too few requests were served");
    }
    finish(old_runs + late_at_drained > 0 ? exit_broken : exit_held);
}
