// Leafs send a late second copy of a few of their answers, among them refusals. Checks that a
// request which may run once at most does not run twice, and is not refused after it has run.

#include "harness.h"

using namespace review;

namespace {

constexpr int instance_count = 3;
constexpr int leaf_count = 5;
/// The leafs that refuse a part of the requests because they are full, and that part.
constexpr int shedding_leafs = 4;
constexpr double shed_fraction = 0.45;
/// The leafs that send second answers, and the part of the answers.
constexpr int garbling_leafs = 3;
constexpr double garble_fraction = 0.03;
constexpr int late_ms = 5;
constexpr int clients_per_instance = 10;
constexpr int run_s = 100;
/// The refusals and the second answers come again and again, for as long as the pages say.
constexpr int shed_ms = 6500;
constexpr int garble_ms = 5000;
constexpr int pause_ms = 500;
constexpr int client_deadline_ms = 4000;

std::atomic<bool> second_answers = false;
std::atomic<bool> shedding = false;
std::atomic<bool> clients_stop = false;
std::atomic<int> copies = 0;

struct request_state {
    std::vector<std::string> runs;
    int status = 0;
    bool answered = false;
};
std::mutex mutex;
std::map<std::string, request_state> requests;

bool serve_request(leaf& self, int number, const http_message& request, int fd) {
    thread_local std::mt19937 random{std::random_device{}()};
    std::uniform_real_distribution<double> unit{0, 1};
    const auto id = request.field("request-id");
    std::string answer;
    if (shedding && number < shedding_leafs && unit(random) < shed_fraction) {
        answer = "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: " + id +
                 "\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";
        record->line("leaf %s refuses %s", self.id().c_str(), id.c_str());
    } else {
        {
            const std::lock_guard lock{mutex};
            requests[id].runs.push_back(self.id());
        }
        record->line("leaf %s runs %s", self.id().c_str(), id.c_str());
        sleep_ms(std::uniform_int_distribution{80, 240}(random));
        answer = response(id, "stamp-" + id, "body of " + id);
    }
    if (!send_all(fd, answer)) {
        return false;
    }
    if (second_answers && number >= leaf_count - garbling_leafs && unit(random) < garble_fraction) {
        sleep_ms(late_ms);
        ++copies;
        record->line("leaf %s sends a second copy of its answer to %s", self.id().c_str(),
                     id.c_str());
        return send_all(fd, answer);
    }
    return true;
}

/// One client: requests on a kept connection, one after the other. It never repeats a request.
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
            const std::string body = "book " + id;
            if (!send_all(connection.fd,
                          "POST /loans/2f HTTP/1.1\r\nHost: registry.example\r\nRequest-Id: " + id +
                              "\r\nDeadline-Ms: " + std::to_string(client_deadline_ms) +
                              "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
                              body)) {
                break;
            }
            http_message answer;
            const auto outcome =
                reader.read(answer, steady::now() + milliseconds{client_deadline_ms});
            const bool complete = outcome == message_reader::outcome::complete;
            record->line("client got for %s: %s", id.c_str(),
                         complete ? answer.first_line.c_str() : "no complete answer");
            {
                const std::lock_guard lock{mutex};
                requests[id].answered = complete;
                requests[id].status = complete ? answer.status() : 0;
            }
            if (!complete || answer.field("connection") == "close") {
                break;
            }
            // Clients honour Retry-After.
            sleep_ms(answer.status() == 503
                         ? static_cast<std::int64_t>(1000 *
                                                     std::atof(answer.field("retry-after").c_str()))
                         : 20);
        }
    }
}

}  // namespace

int main(int argc, char** argv) {
    const auto given = begin(argc, argv);
    store platform{free_port()};
    std::vector<std::unique_ptr<leaf>> leafs;
    for (int it = 0; it < leaf_count; ++it) {
        leafs.push_back(
            std::make_unique<leaf>("i-ledger" + std::to_string(it), "ledger",
                                   [it](leaf& self, const http_message& request, int fd) {
                                       return serve_request(self, it, request, fd);
                                   }));
        platform.put("servers/" + leafs.back()->id(), leafs.back()->entry(6, "howrah-sheds"));
    }
    platform.put("op/config",
                 R"({"version":7,"routes":[{"name":"r-loans","hostname":"registry.example",)"
                 R"("pathPrefix":"/loans/","type":"unsafe","timeoutMs":4000,)"
                 R"("targetLatencyMs":600,"priority":2,"service":"ledger","maxAttempts":2}],)"
                 R"("services":[{"name":"ledger","healthPath":"/health","maxConns":105}],)"
                 R"("limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,)"
                 R"("headerTimeoutMs":3000,"idleTimeoutMs":15000}})");
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
    for (int it = 0; it < instance_count * clients_per_instance; ++it) {
        clients.emplace_back(run_client, it,
                             fronts[static_cast<std::size_t>(it % instance_count)]->clients_port());
    }
    const auto end = steady::now() + std::chrono::seconds{run_s};
    while (steady::now() < end) {
        shedding = true;
        second_answers = given.trouble;
        sleep_ms(garble_ms);
        second_answers = false;
        sleep_ms(shed_ms - garble_ms);
        shedding = false;
        sleep_ms(pause_ms);
    }
    clients_stop = true;
    for (auto& it : clients) {
        it.join();
    }
    // Runs that begin after the answer count too.
    sleep_ms(1000);

    const std::lock_guard lock{mutex};
    int twice = 0;
    int refused_and_run = 0;
    int served = 0;
    for (const auto& [id, it] : requests) {
        served += it.status / 100 == 2 ? 1 : 0;
        if (it.runs.size() > 1) {
            ++twice;
            record->line("TWICE: %s was run by %s and %s", id.c_str(), it.runs[0].c_str(),
                         it.runs[1].c_str());
        }
        const bool promised =
            it.status == 429 || it.status == 503 || it.status == 408 || it.status == 421;
        if (promised && !it.runs.empty()) {
            ++refused_and_run;
            record->line("REFUSED: %s was answered %d and was run by %s", id.c_str(), it.status,
                         it.runs[0].c_str());
        }
    }
    record->line("requests %zu, served %d, second copies %d, run twice %d, refused and run %d",
                 requests.size(), served, copies.load(), twice, refused_and_run);
    std::printf("requests %zu, served %d, second copies %d, run twice %d, refused and run %d\n",
                requests.size(), served, copies.load(), twice, refused_and_run);
    if (served < 500) {
        cannot_run("too few requests were served");
    }
    finish(twice + refused_and_run > 0 ? exit_broken : exit_held);
}
