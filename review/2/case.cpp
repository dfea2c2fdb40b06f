// A small instance that delegates its gathers to large ones is killed while gathers are in
// progress, and started again. Checks that each success that a client gets belongs to its own
// request.

#include "harness.h"

using namespace review;

namespace {

constexpr int shard_count = 20;
constexpr int leafs_per_shard = 2;
/// Shards whose leafs are slow: 40% of the leafs.
constexpr int slow_shards = 8;
constexpr int slow_factor = 12;
constexpr int work_ms = 20;
constexpr int top_k = 50;
constexpr int needed_parts = 18;  // 0.89 of 20 shards
constexpr int client_count = 8;
constexpr int client_deadline_ms = 800;
constexpr int small_instances = 8;
/// Instances that are killed, one after the other, in the 8 s for which leafs may be slow.
constexpr int killed_instances = 3;
constexpr int large_instances = 2;
constexpr int restart_delay_ms = 300;

struct answer_to_check {
    std::string id;
    http_message answer;
};

std::mutex mutex;
/// The body of each part by its signature.
std::map<std::string, std::string> parts;
std::vector<answer_to_check> successes;
std::atomic<int> request_count = 0;
std::atomic<int> failure_count = 0;
std::atomic<bool> clients_stop = false;

std::string random_records(std::mt19937& random) {
    std::string bytes;
    for (int it = 0; it < 20 * 16; ++it) {
        bytes += static_cast<char>('a' + random() % 26);
    }
    return bytes;
}

leaf::handler gather_handler(bool slow) {
    return [slow](leaf& self, const http_message& request, int fd) {
        thread_local std::mt19937 random{std::random_device{}()};
        const auto id = request.field("request-id");
        const auto stamp = self.service() + "." + self.id() + "." + id;
        const auto body = random_records(random);
        {
            const std::lock_guard lock{mutex};
            parts[stamp] = body;
        }
        const double spread = std::uniform_real_distribution{0.5, 1.8}(random);
        sleep_ms(static_cast<std::int64_t>(work_ms * spread * (slow ? slow_factor : 1)));
        return send_all(fd, response(id, stamp, body));
    };
}

/// One client: gathers on new connections, one after the other. A safe request is repeated after a
/// failure, as a request of its own.
void run_client(int number, int port) {
    int count = 0;
    while (!clients_stop) {
        const socket_owner connection{connect_to(port)};
        if (connection.fd < 0) {
            sleep_ms(5);
            continue;
        }
        message_reader reader{connection.fd};
        while (!clients_stop) {
            const auto id = "c" + std::to_string(number) + "-" + std::to_string(++count);
            ++request_count;
            record->line("client sends %s", id.c_str());
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
            record->line("client got for %s: %s, Part-Stamps: %s", id.c_str(),
                         complete ? answer.first_line.c_str() : "no complete answer",
                         answer.field("part-stamps").c_str());
            if (complete && answer.status() / 100 == 2) {
                const std::lock_guard lock{mutex};
                successes.push_back({id, answer});
            } else {
                ++failure_count;
            }
            if (!complete || answer.field("connection") == "close") {
                break;
            }
        }
    }
}

/// What is wrong with a success (MIXED); empty if nothing is.
std::string fault_of(const answer_to_check& it) {
    std::istringstream list{it.answer.field("part-stamps")};
    std::string stamp;
    std::set<std::string> services;
    std::vector<std::string> records;
    while (std::getline(list, stamp, ',')) {
        stamp.erase(0, stamp.find_first_not_of(' '));
        const auto part = parts.find(stamp);
        if (part == parts.end()) {
            return "names an unknown part " + stamp;
        }
        if (stamp.substr(stamp.rfind('.') + 1) != it.id) {
            return "holds the part " + stamp + " of another request";
        }
        if (!services.insert(stamp.substr(0, stamp.find('.'))).second) {
            return "holds two parts of one service";
        }
        for (std::size_t at = 0; at + 16 <= part->second.size(); at += 16) {
            records.push_back(part->second.substr(at, 16));
        }
    }
    const auto missing = std::atoi(it.answer.field("missing-parts").c_str());
    if (static_cast<int>(services.size()) < needed_parts ||
        static_cast<int>(services.size()) + missing != shard_count) {
        return "covers too little or counts its parts wrongly";
    }
    std::sort(records.rbegin(), records.rend());
    records.resize(std::min<std::size_t>(records.size(), top_k));
    std::string body;
    for (const auto& record_bytes : records) {
        body += record_bytes;
    }
    return body == it.answer.body ? "" : "does not hold the greatest records of its parts";
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
                                                   gather_handler(shard < slow_shards)));
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
                                                              {"topK", top_k},
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
    for (int it = 0; it < small_instances + large_instances; ++it) {
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

    std::mt19937 random{std::random_device{}()};
    for (int round = 0; round < killed_instances; ++round) {
        auto& instance = *fronts[static_cast<std::size_t>(round)];
        clients_stop = false;
        std::vector<std::thread> clients;
        for (int it = 0; it < client_count; ++it) {
            clients.emplace_back(run_client, round * client_count + it, instance.clients_port());
        }
        // Its first gathers are in progress.
        sleep_ms(std::uniform_int_distribution{50, 300}(random));
        if (given.trouble) {
            record->line("%s: SIGKILL", instance.name().c_str());
            instance.running().signal(SIGKILL);
            instance.running().await_end(2000);
            sleep_ms(restart_delay_ms);
            instance.start();
            instance.await_ready();
            record->line("%s: ready", instance.name().c_str());
        }
        sleep_ms(1500);
        clients_stop = true;
        for (auto& it : clients) {
            it.join();
        }
    }
    int wrong = 0;
    for (const auto& it : successes) {
        if (const auto fault = fault_of(it); !fault.empty()) {
            ++wrong;
            record->line("MIXED: the success for %s %s", it.id.c_str(), fault.c_str());
        }
    }
    record->line("requests %d, successes %zu, failures %d, wrong successes %d",
                 request_count.load(), successes.size(), failure_count.load(), wrong);
    std::printf("requests %d, successes %zu, failures %d, wrong successes %d\n",
                request_count.load(), successes.size(), failure_count.load(), wrong);
    if (successes.size() < 50) {
        cannot_run("too few successes");
    }
    finish(wrong > 0 ? exit_broken : exit_held);
}
