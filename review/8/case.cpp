// A retry waits for a free connection to the only other leaf, which is slow. Meanwhile other
// requests of the instance are not answered.

#include <random>

#include "../common-2/harness.h"

namespace {

using namespace review;

/// A kind of request, as in the site file bsmsd-poplar: pole-ledger, fair-release and stock-sweep.
struct kind {
    const char* name;
    double per_s;
    ms timeout;
    int objective_ms;
    int clients;
    /// 0: not a gather.
    int top_k;
    double min_coverage;
};
const kind ledger{"ledger", 22.5, ms{4'000}, 600, 60, 0, 0};
const kind release{"release", 22.5, ms{400}, 60, 40, 5, 0.75};
const kind sweep{"sweep", 67.5, ms{800}, 150, 80, 50, 0.89};
constexpr int ledger_work_ms = 160;
constexpr int slots = 2;
constexpr int gather_work_ms = 15;
constexpr int gather_slots = 2;
constexpr int queue = 12;
/// RULES.md, CONFIG: a final answer is due this long after timeoutMs.
constexpr ms answer_slack{500};
/// The doses of the site file for services with two leafs.
constexpr double slow_factor = 12;
constexpr ms slow_time{8'000};
constexpr double lost_share = 0.4;
constexpr ms lost_time{4'000};
constexpr int shards = 4;

double uniform() {
    thread_local std::mt19937 random{std::random_device{}()};
    return std::uniform_real_distribution<double>{}(random);
}

std::string configuration() {
    boost::json::array gather;
    boost::json::array services;
    const auto add_service = [&](const std::string& name, int connections) {
        services.push_back(boost::json::object{{"name", name},
                                               {"healthPath", "/health"},
                                               {"maxConns", connections},
                                               {"protocol", "h1"},
                                               {"tls", false}});
    };
    add_service("shed-desk-4", 56);
    for (int it = 0; it < shards; ++it) {
        gather.push_back(boost::json::string{"shed-desk-" + std::to_string(it)});
        add_service("shed-desk-" + std::to_string(it), 56);
    }
    boost::json::array routes;
    for (const auto* it : {&ledger, &release, &sweep}) {
        boost::json::object route{{"name", std::string{"r-"} + it->name},
                                  {"hostname", "poles.example"},
                                  {"pathPrefix", std::string{"/"} + it->name + "/"},
                                  {"type", "safe"},
                                  {"timeoutMs", it->timeout.count()},
                                  {"targetLatencyMs", it->objective_ms},
                                  {"priority", 2},
                                  {"maxAttempts", 2}};
        if (it->top_k == 0) {
            route["service"] = "shed-desk-4";
        } else {
            route["gather"] = gather;
            route["topK"] = it->top_k;
            route["minCoverage"] = it->min_coverage;
        }
        routes.push_back(route);
    }
    return boost::json::serialize(
        boost::json::object{{"version", 7},
                            {"routes", routes},
                            {"services", services},
                            {"limits", boost::json::object{{"maxHeaderBytes", 16384},
                                                           {"maxBodyBytes", 262144},
                                                           {"headerTimeoutMs", 3000},
                                                           {"idleTimeoutMs", 15000}}}});
}

/// A leaf with slots and a queue. It refuses what doesn't fit.
class leaf {
public:
    leaf(std::string name, int slot_count, int work_ms)
        : name_(std::move(name)), slots_(slot_count), work_ms_(work_ms) {}

    /// From now on, work takes so many times as long.
    void set_slow(double factor) { factor_ = factor; }
    /// From now on, this share of the answers is lost: the connection is reset.
    void set_lost(double share) { lost_ = share; }
    [[nodiscard]] int lost_count() const { return lost_count_; }

    void serve(connection& caller) {
        while (const auto call = caller.read_message(ms{60'000})) {
            const auto id = call->field("Request-Id");
            if (!enter()) {
                if (!caller.write("HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\n"
                                  "Request-Id: " +
                                  id + "\r\nContent-Length: 0\r\n\r\n")) {
                    return;
                }
                continue;
            }
            sleep_for(ms{static_cast<int>(work_ms_ * factor_ * (0.7 + 0.6 * uniform()))});
            leave();
            if (uniform() < lost_) {
                ++lost_count_;
                caller.reset();
                return;
            }
            if (!caller.write("HTTP/1.1 200 OK\r\nServer-Stamp: " + name_ + "." + id +
                              "\r\nRequest-Id: " + id +
                              "\r\nKeep-Alive: timeout=5\r\nContent-Length: 16\r\n\r\n"
                              "0123456789abcdef")) {
                return;
            }
        }
    }

private:
    bool enter() {
        std::unique_lock lock{mutex_};
        if (waiting_ >= queue) {
            return false;
        }
        ++waiting_;
        free_.wait(lock, [&] { return running_ < slots_; });
        --waiting_;
        ++running_;
        return true;
    }
    void leave() {
        const std::lock_guard lock{mutex_};
        --running_;
        free_.notify_one();
    }

    std::string name_;
    int slots_;
    int work_ms_;
    std::atomic<double> factor_ = 1;
    std::atomic<double> lost_ = 0;
    std::atomic<int> lost_count_ = 0;
    std::mutex mutex_;
    std::condition_variable free_;
    int running_ = 0;
    int waiting_ = 0;
};

/// Processor time of a process so far, in s.
double processor_time(pid_t pid) {
    std::ifstream in{"/proc/" + std::to_string(pid) + "/stat"};
    std::string text;
    constexpr int fields_before_user_time = 13;
    for (int it = 0; it < fields_before_user_time; ++it) {
        in >> text;
    }
    double user = 0;
    double system = 0;
    in >> user >> system;
    return (user + system) / static_cast<double>(::sysconf(_SC_CLK_TCK));
}

bool run(bench& made) {
    made.region = "bengal-south";
    made.budget_slack = "116";
    auto& platform = *new store{made.ip(200)};
    int host = 100;
    const auto start_leaf = [&](const std::string& service, int slot_count, int work_ms) {
        const auto id = "i-" + std::to_string(host);
        auto* made_leaf = new leaf{id, slot_count, work_ms};
        auto* listening = new server{made.ip(host++),
                                     [made_leaf](connection& caller) { made_leaf->serve(caller); }};
        platform.put("servers/" + id, registration(service, listening->address(), "howrah-sheds"));
        return made_leaf;
    };
    auto* slow = start_leaf("shed-desk-4", slots, ledger_work_ms);
    auto* losing = start_leaf("shed-desk-4", slots, ledger_work_ms);
    for (int it = 0; it < shards; ++it) {
        start_leaf("shed-desk-" + std::to_string(it), gather_slots, gather_work_ms);
        start_leaf("shed-desk-" + std::to_string(it), gather_slots, gather_work_ms);
    }
    platform.put("op/config", configuration());
    const auto front = made.start_front(1, platform.address(), "howrah-sheds");
    made.wait_ready(front);
    sleep_for(ms{1000});

    std::atomic<bool> stop = false;
    std::atomic<int> ids = 0;
    std::mutex mutex;
    std::map<std::string, int> statuses;
    int requests = 0;
    int late = 0;
    int overdue = 0;
    ms longest{0};
    const auto start = clock_type::now();
    const auto send = [&](const kind& sent_kind) {
        const double gap_s = sent_kind.clients / sent_kind.per_s;
        std::unique_ptr<connection> client;
        auto next = clock_type::now() + std::chrono::duration_cast<clock_type::duration>(
                                            std::chrono::duration<double>(gap_s * uniform()));
        while (!stop) {
            std::this_thread::sleep_until(next);
            next = std::max(next, clock_type::now()) +
                   std::chrono::duration_cast<clock_type::duration>(
                       std::chrono::duration<double>(gap_s * (0.5 + uniform())));
            if (client == nullptr) {
                client = connect_to(front.ip, front.clients);
            }
            const auto id = "req-" + std::to_string(++ids);
            const auto sent_at = clock_type::now();
            if (client == nullptr ||
                !client->write(std::string{"GET /"} + sent_kind.name + "/" + id +
                               " HTTP/1.1\r\nHost: poles.example\r\nRequest-Id: " + id +
                               "\r\nDeadline-Ms: 4000\r\n\r\n")) {
                client.reset();
                continue;
            }
            const auto answer = client->read_message(ms{10'000});
            const auto took = std::chrono::duration_cast<ms>(clock_type::now() - sent_at);
            if (!answer || answer->field("Connection") == "close") {
                client.reset();
            }
            const std::lock_guard lock{mutex};
            ++statuses[std::string{sent_kind.name} + " " +
                       std::to_string(answer ? answer->status() : 0)];
            ++requests;
            longest = std::max(longest, took - sent_kind.timeout);
            if (took > sent_kind.timeout) {
                ++late;
            }
            if (took > sent_kind.timeout + answer_slack) {
                ++overdue;
                made.note(id + " (" + sent_kind.name + ", timeoutMs " +
                          std::to_string(sent_kind.timeout.count()) + "), sent at " +
                          std::to_string(std::chrono::duration_cast<ms>(sent_at - start).count()) +
                          " ms, is answered after " + std::to_string(took.count()) + " ms");
            }
        }
    };
    std::vector<std::thread> threads;
    for (const auto* it : {&ledger, &release, &sweep}) {
        for (int n = 0; n < it->clients; ++n) {
            threads.emplace_back([&send, it] { send(*it); });
        }
    }
    sleep_for(ms{5'000});
    const auto used_before = processor_time(front.pid);
    if (made.trouble()) {
        made.note("one leaf of shed-desk-4 turns slow, the other loses answers");
        slow->set_slow(slow_factor);
        losing->set_lost(lost_share);
    }
    sleep_for(lost_time);
    losing->set_lost(0);
    sleep_for(slow_time - lost_time);
    slow->set_slow(1);
    made.note("processor time of poplarfrontd in these 8 s: " +
              std::to_string(processor_time(front.pid) - used_before) + " s");
    sleep_for(ms{4'000});
    stop = true;
    for (auto& it : threads) {
        it.join();
    }
    for (const auto& [name, n] : statuses) {
        made.note("answers, " + name + ": " + std::to_string(n));
    }
    if (made.trouble() && losing->lost_count() == 0) {
        throw setup_error{"no answer was lost"};
    }
    made.note("answers that were lost: " + std::to_string(losing->lost_count()));
    made.note(std::to_string(requests) + " requests, " + std::to_string(late) +
              " unanswered at their route's timeoutMs, " + std::to_string(overdue) +
              " of these without an answer 500 ms later; latest answer " +
              std::to_string(longest.count()) + " ms after timeoutMs");
    return overdue >= 8 && overdue * 4 > late;
}

}  // namespace

int main(int argc, char** argv) {
    return run_case(8, argc, argv, run);
}
