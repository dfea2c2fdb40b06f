// The leafs of two shards are slow and refuse a part of the requests with Retry-After, as busy
// leafs do. Checks that the instances stay up and answer the requests that they pass on.

#include <semaphore>

#include "harness.h"

using namespace review;

namespace {

constexpr int shard_count = 20;
constexpr int leafs_per_shard = 2;
constexpr int small_instances = 4;
constexpr int large_instances = 2;
constexpr int instance_count = small_instances + large_instances;
constexpr int clients_per_instance = 6;
/// From an answer to the next request of a client.
constexpr int think_ms = 10;
constexpr int client_deadline_ms = 800;
/// The work of the kind fair-release.
constexpr int work_ms = 7;
/// The leafs of these shards are busy at times: 10% of the leafs.
constexpr int busy_shards = 2;
/// The part of the requests that a busy leaf refuses at once.
constexpr double refused_fraction = 0.45;
/// How many times as long a request takes at a busy leaf.
constexpr double slow_factor = 8.5;
/// What a leaf runs at the same time, and how many more requests it queues before it is full.
constexpr int slots = 2;
constexpr int queue_length = 12;
/// Each leaf pauses for this long, at its own time.
constexpr int pause_ms = 200;
constexpr int pause_every_ms = 4500;
constexpr const char* retry_after = "0.3";
constexpr int busy_ms = 6500;
constexpr int calm_ms = 4500;
constexpr int rounds = 3;
constexpr int restart_delay_ms = 300;

std::mutex mutex;
/// The requests that each leaf runs or has queued, and the free slots.
struct leaf_load {
    std::atomic<int> taken = 0;
    int phase_ms = static_cast<int>(std::random_device{}() % pause_every_ms);
    std::counting_semaphore<slots> free_slots{slots};
};
/// Requests that a leaf other than the busy ones has run.
std::set<std::string> run_by_sound_leaf;
struct cut_request {
    std::string id;
    std::string instance;
};
/// Requests on kept connections that ended without an answer.
std::vector<cut_request> cut;
std::atomic<int> request_count = 0;
std::atomic<int> success_count = 0;
std::atomic<bool> clients_stop = false;
std::atomic<bool> busy = false;

std::string refusal(const std::string& id, const std::string& more_fields) {
    return "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: " + id + "\r\nNot-Executed: 1\r\n" +
           more_fields + "Content-Length: 0\r\n\r\n";
}

leaf::handler gather_handler(bool busy_at_times) {
    const auto load = std::make_shared<leaf_load>();
    return [busy_at_times, load](leaf& self, const http_message& request, int fd) {
        thread_local std::mt19937 random{std::random_device{}()};
        std::uniform_real_distribution<double> unit{0, 1};
        const auto id = request.field("request-id");
        if (busy_at_times && busy && unit(random) < refused_fraction) {
            return send_all(fd, refusal(id, std::string{"Retry-After: "} + retry_after + "\r\n"));
        }
        if (++load->taken > slots + queue_length) {
            --load->taken;
            return send_all(fd, refusal(id, ""));
        }
        load->free_slots.acquire();
        const auto in_period = (static_cast<int>(record->ms()) + load->phase_ms) % pause_every_ms;
        if (in_period < pause_ms) {
            sleep_ms(pause_ms - in_period);
        }
        if (!busy_at_times) {
            const std::lock_guard lock{mutex};
            run_by_sound_leaf.insert(id);
        }
        sleep_ms(static_cast<std::int64_t>(work_ms * (0.5 + unit(random)) *
                                           (busy_at_times && busy ? slow_factor : 1)));
        load->free_slots.release();
        --load->taken;
        return send_all(fd, response(id, self.service() + "." + self.id() + "." + id,
                                     std::string(16 * 20, 'r')));
    };
}

/// One client: gathers on a kept connection, one after the other.
void run_client(int number, const front& instance) {
    int count = 0;
    while (!clients_stop) {
        const socket_owner connection{connect_to(instance.clients_port())};
        if (connection.fd < 0) {
            sleep_ms(20);
            continue;
        }
        message_reader reader{connection.fd};
        bool kept = false;
        while (!clients_stop) {
            const auto id = "c" + std::to_string(number) + "-" + std::to_string(++count);
            ++request_count;
            if (!send_all(connection.fd,
                          "GET /stock/2f HTTP/1.1\r\nHost: registry.example\r\nRequest-Id: " + id +
                              "\r\nDeadline-Ms: " + std::to_string(client_deadline_ms) +
                              "\r\n\r\n")) {
                break;
            }
            http_message answer;
            const auto outcome =
                reader.read(answer, steady::now() + milliseconds{client_deadline_ms});
            const bool complete = outcome == message_reader::outcome::complete;
            record->line("client of %s got for %s: %s", instance.name().c_str(), id.c_str(),
                         complete ? answer.first_line.c_str() : "no complete answer");
            success_count += complete && answer.status() == 200 ? 1 : 0;
            const bool closed = outcome == message_reader::outcome::closed ||
                                outcome == message_reader::outcome::broken_off;
            if (closed && kept) {
                const std::lock_guard lock{mutex};
                cut.push_back({id, instance.name()});
            }
            if (!complete || answer.field("connection") == "close") {
                break;
            }
            kept = true;
            sleep_ms(think_ms);
        }
    }
}

}  // namespace

int main(int argc, char** argv) {
    const auto given = begin(argc, argv);
    store platform{free_port()};
    std::vector<std::unique_ptr<leaf>> leafs;
    boost::json::array shards;
    boost::json::array services;
    for (int shard = 0; shard < shard_count; ++shard) {
        const auto name = "shed" + std::to_string(shard);
        shards.push_back(boost::json::string{name});
        services.push_back({{"name", name}, {"healthPath", "/health"}, {"maxConns", 96}});
        for (int copy = 0; copy < leafs_per_shard; ++copy) {
            leafs.push_back(std::make_unique<leaf>("i-" + name + "-" + std::to_string(copy), name,
                                                   gather_handler(shard < busy_shards)));
            platform.put("servers/" + leafs.back()->id(), leafs.back()->entry(2, "howrah-sheds"));
        }
    }
    platform.put(
        "op/config",
        boost::json::serialize(boost::json::object{
            {"version", 7},
            {"routes", boost::json::array{boost::json::object{{"name", "r-stock"},
                                                              {"hostname", "registry.example"},
                                                              {"pathPrefix", "/stock/"},
                                                              {"type", "safe"},
                                                              {"timeoutMs", 800},
                                                              {"targetLatencyMs", 150},
                                                              {"priority", 1},
                                                              {"gather", shards},
                                                              {"maxAttempts", 2},
                                                              {"topK", 50},
                                                              {"minCoverage", 0.89}}}},
            {"services", services},
            {"limits", boost::json::object{{"maxHeaderBytes", 16384},
                                           {"maxBodyBytes", 262144},
                                           {"headerTimeoutMs", 3000},
                                           {"idleTimeoutMs", 15000}}}}));

    // The capacities of small and large machines of the grown deployments.
    auto small = small_deployment();
    small["limits.cpuShare"] = "0.084";
    auto large = small_deployment();
    large["limits.cpuShare"] = "0.5";
    std::vector<std::unique_ptr<front>> fronts;
    for (int it = 0; it < instance_count; ++it) {
        fronts.push_back(std::make_unique<front>(
            given.root, given.folder, "front-howrah-sheds-" + std::to_string(it + 1),
            "howrah-sheds", platform.address(), it < small_instances ? small : large));
    }
    std::string seeds;
    for (int it = 1; it <= 3; ++it) {
        seeds +=
            (seeds.empty() ? "" : ",") + fronts[static_cast<std::size_t>(it)]->control_address();
    }
    for (auto& it : fronts) {
        it->set_field("seeds", seeds);
        it->start();
    }
    for (auto& it : fronts) {
        it->await_ready();
    }
    while (platform.count("poplarfront/instances/") < fronts.size()) {
        sleep_ms(10);
    }
    sleep_ms(2000);

    std::vector<std::thread> clients;
    for (int it = 0; it < clients_per_instance * instance_count; ++it) {
        clients.emplace_back([it, &fronts] {
            run_client(it, *fronts[static_cast<std::size_t>(it % instance_count)]);
        });
    }
    // Number of times that the process of an instance has ended by itself.
    std::map<std::string, int> ends;
    const auto watch_processes = [&](int time_ms) {
        const auto until = steady::now() + milliseconds{time_ms};
        while (steady::now() < until) {
            for (auto& it : fronts) {
                if (it->running().ended()) {
                    ++ends[it->name()];
                    record->line("%s: its process has ended by itself: %s", it->name().c_str(),
                                 it->running().state().c_str());
                    sleep_ms(restart_delay_ms);
                    it->start();
                }
            }
            sleep_ms(5);
        }
    };
    for (int round = 0; round < rounds; ++round) {
        watch_processes(calm_ms);
        busy = given.trouble;
        record->line("%s", busy ? "the leafs of two shards are busy" : "no leaf is busy");
        watch_processes(busy_ms);
        busy = false;
    }
    watch_processes(calm_ms);
    clients_stop = true;
    for (auto& it : clients) {
        it.join();
    }

    int lost = 0;
    for (const auto& it : cut) {
        if (run_by_sound_leaf.contains(it.id)) {
            ++lost;
            record->line("LOST: %s was run by sound leafs, and %s closed its connection",
                         it.id.c_str(), it.instance.c_str());
        }
    }
    int all_ends = 0;
    for (const auto& [name, count] : ends) {
        all_ends += count;
        record->line("%s: its process has ended by itself %d times", name.c_str(), count);
    }
    record->line(
        "requests %d, successes %d, lost on kept connections %d, processes that ended by "
        "themselves %d on %zu instances",
        request_count.load(), success_count.load(), lost, all_ends, ends.size());
    std::printf(
        "requests %d, successes %d, lost on kept connections %d, processes that ended by "
        "themselves %d on %zu instances\n",
        request_count.load(), success_count.load(), lost, all_ends, ends.size());
    if (success_count < 500) {
        cannot_run("too few successes");
    }
    // The rule allows three.
    finish(lost > 3 ? exit_broken : exit_held);
}
