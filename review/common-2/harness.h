#pragma once

// Stand-ins and helpers for the scripts of the second review: a store, a base for leafs, an HTTP
// client and a launcher for poplarfrontd. Only the standard library, POSIX and Boost.JSON.

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <boost/json.hpp>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using clock_type = std::chrono::steady_clock;
using ms = std::chrono::milliseconds;

constexpr int exit_held = 0;
constexpr int exit_broken = 1;
constexpr int exit_not_run = 2;

struct setup_error : std::runtime_error {
    using std::runtime_error::runtime_error;
};

inline void sleep_for(ms time) {
    std::this_thread::sleep_for(time);
}

/// Lines of the record, each with the time since the start of the case.
class record {
public:
    explicit record(const std::string& file) : out_(file), start_(clock_type::now()) {}
    void add(const std::string& line) {
        const std::lock_guard lock{mutex_};
        const auto at = std::chrono::duration_cast<ms>(clock_type::now() - start_).count();
        char text[32];
        std::snprintf(text, sizeof text, "%8.3f s  ", static_cast<double>(at) / 1000);
        out_ << text << line << std::endl;
    }

private:
    std::mutex mutex_;
    std::ofstream out_;
    clock_type::time_point start_;
};

inline std::string lower(std::string text) {
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return text;
}

/// The head of a message and, where it was read, its body.
struct message {
    std::string start_line;
    std::map<std::string, std::string> fields;
    std::string body;

    [[nodiscard]] std::string field(const std::string& name) const {
        const auto it = fields.find(lower(name));
        return it == fields.end() ? "" : it->second;
    }
    [[nodiscard]] std::size_t length() const {
        const auto text = field("Content-Length");
        return text.empty() ? 0 : std::stoul(text);
    }
    /// A word of the start line, from 0.
    [[nodiscard]] std::string word(std::size_t index) const {
        std::istringstream in{start_line};
        std::string text;
        for (std::size_t n = 0; n <= index && in >> text; ++n) {
        }
        return text;
    }
    [[nodiscard]] int status() const { return std::atoi(word(1).c_str()); }
};

/// One TCP connection with blocking calls and time limits.
class connection {
public:
    explicit connection(int fd) : fd_(fd) {
        const int on = 1;
        ::setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    }
    ~connection() { close(); }
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;

    [[nodiscard]] int fd() const { return fd_; }
    [[nodiscard]] bool open() const { return fd_ >= 0; }

    void close() {
        if (fd_ >= 0) {
            ::close(fd_);
            fd_ = -1;
        }
    }
    /// Closes the connection with a reset.
    void reset() {
        const linger off{1, 0};
        ::setsockopt(fd_, SOL_SOCKET, SO_LINGER, &off, sizeof off);
        close();
    }

    bool write(std::string_view bytes, ms timeout = ms{5000}) {
        const auto until = clock_type::now() + timeout;
        while (!bytes.empty()) {
            const auto n = ::send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
            if (n > 0) {
                bytes.remove_prefix(static_cast<std::size_t>(n));
            } else if (errno != EAGAIN || !wait(POLLOUT, until)) {
                return false;
            }
        }
        return true;
    }

    /// Reads more bytes into the buffer. 1: some; 0: the end; -1: reset; -2: timeout.
    int read_some(clock_type::time_point until) {
        if (!wait(POLLIN, until)) {
            return -2;
        }
        char bytes[65536];
        const auto n = ::recv(fd_, bytes, sizeof bytes, 0);
        if (n > 0) {
            buffer_.append(bytes, static_cast<std::size_t>(n));
            return 1;
        }
        return n == 0 ? 0 : -1;
    }

    /// Reads a head; nothing at the end of the connection or after the timeout.
    std::optional<message> read_head(ms timeout) {
        const auto until = clock_type::now() + timeout;
        std::size_t end = 0;
        while ((end = buffer_.find("\r\n\r\n")) == std::string::npos) {
            last_read_ = read_some(until);
            if (last_read_ <= 0) {
                return std::nullopt;
            }
        }
        message head;
        std::istringstream lines{buffer_.substr(0, end)};
        buffer_.erase(0, end + 4);
        std::string line;
        while (std::getline(lines, line)) {
            if (!line.empty() && line.back() == '\r') {
                line.pop_back();
            }
            if (head.start_line.empty()) {
                head.start_line = line;
                continue;
            }
            const auto colon = line.find(':');
            if (colon != std::string::npos) {
                auto value = line.substr(colon + 1);
                value.erase(0, value.find_first_not_of(" \t"));
                head.fields[lower(line.substr(0, colon))] = value;
            }
        }
        return head;
    }

    /// Reads a body of known length.
    std::optional<std::string> read_body(std::size_t length, ms timeout) {
        const auto until = clock_type::now() + timeout;
        while (buffer_.size() < length) {
            last_read_ = read_some(until);
            if (last_read_ <= 0) {
                return std::nullopt;
            }
        }
        auto body = buffer_.substr(0, length);
        buffer_.erase(0, length);
        return body;
    }

    /// A whole message with a length.
    std::optional<message> read_message(ms timeout) {
        auto head = read_head(timeout);
        if (!head) {
            return std::nullopt;
        }
        auto body = read_body(head->length(), timeout);
        if (!body) {
            return std::nullopt;
        }
        head->body = std::move(*body);
        return head;
    }

    [[nodiscard]] int last_read() const { return last_read_; }
    [[nodiscard]] const std::string& buffered() const { return buffer_; }

private:
    [[nodiscard]] bool wait(short events, clock_type::time_point until) const {
        while (true) {
            const auto left = std::chrono::duration_cast<ms>(until - clock_type::now()).count();
            pollfd ready{fd_, events, 0};
            const int n = ::poll(&ready, 1, static_cast<int>(std::max<long>(0, left)));
            if (n > 0) {
                return true;
            }
            if (n == 0 && left <= 0) {
                return false;
            }
        }
    }

    int fd_;
    std::string buffer_;
    int last_read_ = 1;
};

inline sockaddr_in to_address(const std::string& ip, int port) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    ::inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

/// Listens and serves each connection on a thread of its own.
class server {
public:
    using handler = std::function<void(connection&)>;

    /// `window`: size of the receive buffer of its connections; 0: as the system sets it.
    server(const std::string& ip, handler serve, int window = 0)
        : ip_(ip), serve_(std::move(serve)) {
        fd_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        ::setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        // Segments as on Ethernet: those of the loopback interface are 64 KB.
        const int segment = 1460;
        ::setsockopt(fd_, IPPROTO_TCP, TCP_MAXSEG, &segment, sizeof segment);
        if (window > 0) {
            ::setsockopt(fd_, SOL_SOCKET, SO_RCVBUF, &window, sizeof window);
        }
        auto address = to_address(ip, 0);
        if (::bind(fd_, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 ||
            ::listen(fd_, 512) != 0) {
            throw setup_error{"cannot listen on " + ip};
        }
        socklen_t size = sizeof address;
        ::getsockname(fd_, reinterpret_cast<sockaddr*>(&address), &size);
        port_ = ntohs(address.sin_port);
        thread_ = std::thread{[this] { accept_loop(); }};
    }
    ~server() { stop(); }
    server(const server&) = delete;

    void stop() {
        if (!stopping_.exchange(true)) {
            ::shutdown(fd_, SHUT_RDWR);
            thread_.join();
            ::close(fd_);
        }
    }

    [[nodiscard]] std::string address() const { return ip_ + ":" + std::to_string(port_); }
    [[nodiscard]] int port() const { return port_; }
    [[nodiscard]] const std::string& ip() const { return ip_; }

private:
    void accept_loop() {
        while (!stopping_) {
            const int fd = ::accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0) {
                if (stopping_) {
                    return;
                }
                continue;
            }
            // Threads outlive the server; the process ends with them.
            std::thread{[serve = serve_, fd] {
                connection accepted{fd};
                serve(accepted);
            }}.detach();
        }
    }

    std::string ip_;
    handler serve_;
    int fd_ = -1;
    int port_ = 0;
    std::atomic<bool> stopping_ = false;
    std::thread thread_;
};

inline std::unique_ptr<connection> connect_to(const std::string& ip, int port) {
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const auto address = to_address(ip, port);
    if (::connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
        ::close(fd);
        return nullptr;
    }
    return std::make_unique<connection>(fd);
}

inline std::string base64(std::string_view bytes) {
    constexpr std::string_view digits =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t it = 0; it < bytes.size(); it += 3) {
        std::uint32_t group = 0;
        for (std::size_t n = 0; n < 3; ++n) {
            group = group << 8 |
                    (it + n < bytes.size() ? static_cast<unsigned char>(bytes[it + n]) : 0);
        }
        for (std::size_t n = 0; n < 4; ++n) {
            text += it + n > bytes.size() ? '=' : digits[group >> (18 - 6 * n) & 63];
        }
    }
    return text;
}

/// A stand-in for the platform's store, as PROTOCOL.md describes it. Linearizable; all reads are up
/// to date.
class store {
public:
    explicit store(const std::string& ip)
        : server_(ip, [this](connection& accepted) { serve(accepted); }) {}

    [[nodiscard]] std::string address() const { return server_.address(); }

    /// Writes as the operator or a leaf. Returns the revision: the acknowledgement.
    std::uint64_t put(const std::string& key, const std::string& value) {
        const std::lock_guard lock{mutex_};
        return put_locked(key, base64(value), 0);
    }
    std::uint64_t erase(const std::string& key) {
        const std::lock_guard lock{mutex_};
        return erase_locked(key);
    }
    [[nodiscard]] std::vector<std::string> keys(const std::string& prefix) const {
        const std::lock_guard lock{mutex_};
        std::vector<std::string> found;
        for (const auto& [key, item] : items_) {
            if (key.starts_with(prefix)) {
                found.push_back(key);
            }
        }
        return found;
    }
    /// How old the state is that reads with `staleOk` get. Set before the first call.
    ms stale_age{0};
    /// Loses the next response of a watch that returns events: the call is executed, and the
    /// connection returns nothing further.
    void lose_next_events() { loses_events_ = true; }
    /// Number of responses lost so far.
    [[nodiscard]] int lost_responses() const { return lost_responses_; }
    /// Called before each call is handled, with method and target. False: the call is not executed,
    /// and the connection is closed without a response.
    std::function<bool(const message&, connection&)> before_call;

private:
    struct item {
        std::string value;
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
        std::uint64_t lease = 0;
    };
    struct lease {
        ms ttl{};
        clock_type::time_point ends;
    };

    std::uint64_t put_locked(const std::string& key, std::string value, std::uint64_t lease_id) {
        auto& it = items_[key];
        it.value = std::move(value);
        it.revision = ++revision_;
        it.created = it.created == 0 ? revision_ : it.created;
        it.lease = lease_id;
        history_.push_back({key, it, false, clock_type::now()});
        changed_.notify_all();
        return revision_;
    }
    std::uint64_t erase_locked(const std::string& key) {
        if (items_.erase(key) > 0) {
            item gone;
            gone.revision = ++revision_;
            history_.push_back({key, gone, true, clock_type::now()});
            changed_.notify_all();
        }
        return revision_;
    }
    void end_leases() {
        const auto now = clock_type::now();
        for (auto it = leases_.begin(); it != leases_.end();) {
            if (it->second.ends > now) {
                ++it;
                continue;
            }
            std::vector<std::string> held;
            for (const auto& [key, value] : items_) {
                if (value.lease == it->first) {
                    held.push_back(key);
                }
            }
            for (const auto& key : held) {
                erase_locked(key);
            }
            it = leases_.erase(it);
        }
    }

    static boost::json::object to_json(const std::string& key, const item& it) {
        return {{"key", key},
                {"value", it.value},
                {"revision", it.revision},
                {"created", it.created},
                {"lease", it.lease}};
    }

    void serve(connection& accepted) {
        while (auto call = accepted.read_message(ms{120'000})) {
            if (before_call && !before_call(*call, accepted)) {
                return;
            }
            const auto [status, body] = handle(*call);
            const auto* events = body.if_contains("events");
            if (events != nullptr && !events->as_array().empty() && loses_events_.exchange(false)) {
                ++lost_responses_;
                while (accepted.read_message(ms{120'000})) {
                }
                return;
            }
            const auto text = boost::json::serialize(body);
            if (!accepted.write("HTTP/1.1 " + std::to_string(status) +
                                " X\r\nContent-Type: application/json\r\nContent-Length: " +
                                std::to_string(text.size()) + "\r\n\r\n" + text)) {
                return;
            }
        }
    }

    static std::map<std::string, std::string> query_of(const std::string& target) {
        std::map<std::string, std::string> query;
        const auto mark = target.find('?');
        std::istringstream in{mark == std::string::npos ? "" : target.substr(mark + 1)};
        std::string part;
        while (std::getline(in, part, '&')) {
            const auto equals = part.find('=');
            std::string value;
            for (auto it = equals + 1; equals != std::string::npos && it < part.size(); ++it) {
                if (part[it] == '%' && it + 2 < part.size()) {
                    value += static_cast<char>(std::stoi(part.substr(it + 1, 2), nullptr, 16));
                    it += 2;
                } else {
                    value += part[it];
                }
            }
            query[part.substr(0, equals)] = value;
        }
        return query;
    }

    std::pair<int, boost::json::object> handle(const message& call) {
        const auto target = call.word(1);
        const auto path = target.substr(0, target.find('?'));
        auto query = query_of(target);
        std::unique_lock lock{mutex_};
        end_leases();
        const auto [items, revision] =
            query.contains("staleOk") ? stale_state() : std::pair{items_, revision_};
        if (path == "/v1/kv-key") {
            const auto it = items.find(query["key"]);
            if (it == items.end()) {
                return {404, {}};
            }
            auto found = to_json(it->first, it->second);
            found["storeRevision"] = revision;
            return {200, found};
        }
        if (path == "/v1/kv-range") {
            return range(items, revision, query["pathPrefix"], query["after"]);
        }
        if (path == "/v1/kv-watch") {
            return watch(lock, query["pathPrefix"], std::stoull("0" + query["after"]),
                         ms{std::stoll("0" + query["waitMs"])});
        }
        if (path == "/v1/kv-txn") {
            return transact(call.body);
        }
        if (path == "/v1/kv-lease") {
            const auto ttl = boost::json::parse(call.body).at("ttlMs").to_number<std::int64_t>();
            leases_[++last_lease_] = {ms{ttl}, clock_type::now() + ms{ttl}};
            return {200, {{"lease", last_lease_}, {"ttlMs", ttl}}};
        }
        constexpr std::string_view keep = "/v1/kv-keep/";
        if (path.starts_with(keep)) {
            const auto it = leases_.find(std::stoull("0" + path.substr(keep.size())));
            if (it == leases_.end()) {
                return {404, {}};
            }
            it->second.ends = clock_type::now() + it->second.ttl;
            return {200, {{"ttlMs", it->second.ttl.count()}}};
        }
        return {404, {}};
    }

    static std::pair<int, boost::json::object> range(const std::map<std::string, item>& items,
                                                     std::uint64_t revision,
                                                     const std::string& prefix,
                                                     const std::string& after) {
        constexpr std::size_t page_items = 500;
        boost::json::array found;
        bool more = false;
        for (const auto& [key, it] : items) {
            if (!key.starts_with(prefix) || (!after.empty() && key <= after)) {
                continue;
            }
            if (found.size() == page_items) {
                more = true;
                break;
            }
            found.push_back(to_json(key, it));
        }
        return {200, {{"items", found}, {"hasMore", more}, {"storeRevision", revision}}};
    }

    std::pair<int, boost::json::object> watch(std::unique_lock<std::mutex>& lock,
                                              const std::string& prefix, std::uint64_t after,
                                              ms wait) {
        const auto until = clock_type::now() + wait;
        while (true) {
            end_leases();
            boost::json::array events;
            for (const auto& it : history_) {
                if (it.value.revision <= after || !it.key.starts_with(prefix)) {
                    continue;
                }
                if (it.deleted) {
                    events.push_back(boost::json::object{
                        {"key", it.key}, {"revision", it.value.revision}, {"deleted", true}});
                } else {
                    events.push_back(to_json(it.key, it.value));
                }
            }
            if (!events.empty() || clock_type::now() >= until) {
                return {200, {{"events", events}, {"storeRevision", revision_}}};
            }
            changed_.wait_until(lock, std::min(until, clock_type::now() + ms{200}));
        }
    }

    std::pair<int, boost::json::object> transact(const std::string& body) {
        const auto call = boost::json::parse(body).as_object();
        for (const auto& it : call.at("expect").as_array()) {
            const auto found = items_.find(std::string{it.at("key").as_string()});
            const auto revision = found == items_.end() ? 0 : found->second.revision;
            if (revision != it.at("revision").to_number<std::uint64_t>()) {
                return {412, {{"items", boost::json::array{}}}};
            }
        }
        for (const auto& it : call.at("puts").as_array()) {
            const auto id = it.at("lease").to_number<std::uint64_t>();
            if (id != 0 && !leases_.contains(id)) {
                return {404, {}};
            }
        }
        for (const auto& it : call.at("puts").as_array()) {
            put_locked(std::string{it.at("key").as_string()},
                       std::string{it.at("value").as_string()},
                       it.at("lease").to_number<std::uint64_t>());
        }
        for (const auto& it : call.at("deletes").as_array()) {
            erase_locked(std::string{it.as_string()});
        }
        return {200, {{"revision", revision_}}};
    }

    struct change {
        std::string key;
        item value;
        bool deleted = false;
        clock_type::time_point at;
    };

    /// The state `stale_age` ago.
    [[nodiscard]] std::pair<std::map<std::string, item>, std::uint64_t> stale_state() const {
        std::map<std::string, item> items;
        std::uint64_t revision = 1;
        for (const auto& it : history_) {
            if (it.at > clock_type::now() - stale_age) {
                break;
            }
            revision = it.value.revision;
            if (it.deleted) {
                items.erase(it.key);
            } else {
                items[it.key] = it.value;
            }
        }
        return {items, revision};
    }

    std::atomic<bool> loses_events_ = false;
    std::atomic<int> lost_responses_ = 0;
    mutable std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, item> items_;
    std::vector<change> history_;
    std::map<std::uint64_t, lease> leases_;
    std::uint64_t revision_ = 1;
    std::uint64_t last_lease_ = 0;
    server server_;
};

/// The registration of a leaf.
inline std::string registration(const std::string& service, const std::string& address,
                                const std::string& zone, std::int64_t seq = 1,
                                const std::string& state = "ready",
                                std::int64_t born = 1'790'000'000'000) {
    return boost::json::serialize(boost::json::object{{"service", service},
                                                      {"address", address},
                                                      {"zone", zone},
                                                      {"version", "v1"},
                                                      {"capacity", 2},
                                                      {"state", state},
                                                      {"coldRemainingMs", 0},
                                                      {"seq", seq},
                                                      {"born", born}});
}

/// The environment of a case: its addresses, its temporary folder and its processes.
class bench {
public:
    /// `number`: of the case. The addresses are of a block of its own.
    bench(int number, std::string folder)
        : number_(number), folder_(std::move(folder)), record_(folder_ + "/record.txt") {
        const char* trouble = std::getenv("TROUBLE");
        trouble_ = trouble == nullptr || std::string{trouble} != "0";
        char name[] = "/tmp/poplarfront-review-XXXXXX";
        if (::mkdtemp(name) == nullptr) {
            throw setup_error{"no temporary folder"};
        }
        temporary_ = name;
        ::signal(SIGPIPE, SIG_IGN);
        note(trouble_ ? "the disruption is on" : "the disruption is off");
    }
    /// Ends all processes that were started, and removes the temporary folder.
    void finish() {
        for (const auto& [pid, name] : processes_) {
            ::kill(pid, SIGCONT);
            ::kill(pid, SIGKILL);
            ::waitpid(pid, nullptr, 0);
        }
        processes_.clear();
        if (std::getenv("KEEP") == nullptr) {
            for (const auto& it : files_) {
                ::unlink(it.c_str());
            }
            ::rmdir(temporary_.c_str());
        }
    }

    /// Settings that differ between the sites. Set before the first instance is started.
    std::string region = "monteregie";
    std::string budget_slack = "122";

    [[nodiscard]] bool trouble() const { return trouble_; }
    void note(const std::string& line) { record_.add(line); }

    /// A loopback address of this run.
    [[nodiscard]] std::string ip(int host) const {
        const auto pid = static_cast<unsigned>(::getpid());
        constexpr unsigned blocks = 251;
        constexpr unsigned groups = 6;
        constexpr unsigned group_size = 20;
        const auto group = pid / blocks % groups;
        return "127." + std::to_string(100 + number_ + group_size * group) + "." +
               std::to_string(pid % blocks + 1) + "." + std::to_string(host);
    }

    struct front {
        pid_t pid = 0;
        std::string ip;
        int clients = 0;
        int ready = 0;
        std::string settings;
    };

    /// Starts an instance with the settings of a small deployment, as the deploy file says.
    /// `host`: last part of its address, from 1.
    front start_front(int host, const std::string& store_address, const std::string& zone) {
        front made;
        made.ip = ip(host);
        constexpr int clients = 8104;
        constexpr int control = 8106;
        constexpr int ready = 8108;
        made.clients = clients;
        made.ready = ready;
        const auto at = [&](int port) { return made.ip + ":" + std::to_string(port); };
        const std::map<std::string, std::string> values{
            {"node", "front-" + zone + "-" + std::to_string(host)},
            {"zone", zone},
            {"region", region},
            {"ip", made.ip},
            {"limits.cpuShare", "0.17"},
            {"listen.front", at(clients)},
            {"listen.control", at(control)},
            {"listen.ready", at(ready)},
            {"bounds.retryBudgetRatio", "0.2"},
            {"bounds.budgetSlack", budget_slack},
            {"platform.address", store_address},
            {"seeds", ip(1) + ":" + std::to_string(control)}};
        std::ifstream in{"deploy/front.ini"};
        std::string text{std::istreambuf_iterator<char>{in}, {}};
        for (auto begin = text.find("{{"); begin != std::string::npos; begin = text.find("{{")) {
            const auto end = text.find("}}", begin);
            const auto it = values.find(text.substr(begin + 2, end - begin - 2));
            if (end == std::string::npos || it == values.end()) {
                throw setup_error{"deploy/front.ini has an unknown placeholder"};
            }
            text.replace(begin, end + 2 - begin, it->second);
        }
        made.settings = temporary_ + "/node-" + std::to_string(host) + ".toml";
        std::ofstream{made.settings} << text;
        files_.insert(made.settings);
        made.pid = launch(made);
        return made;
    }

    /// Starts the process of an instance again.
    pid_t launch(const front& it) {
        const std::string program = "target/packages/daemon/poplarfrontd";
        if (::access(program.c_str(), X_OK) != 0) {
            throw setup_error{program + " is not built"};
        }
        const auto log = it.settings + ".log";
        files_.insert(log);
        const auto variable = "POPLARFRONT_SETTINGS=" + it.settings;
        const std::string path = "PATH=" + std::string{std::getenv("PATH")};
        const pid_t pid = ::fork();
        if (pid == 0) {
            // It ends with this program, however that ends.
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
            ::dup2(out, STDOUT_FILENO);
            ::dup2(out, STDERR_FILENO);
            ::signal(SIGPIPE, SIG_DFL);
            const char* arguments[] = {program.c_str(), "--config", it.settings.c_str(), nullptr};
            const char* environment[] = {variable.c_str(), path.c_str(), nullptr};
            ::execve(program.c_str(), const_cast<char**>(arguments),
                     const_cast<char**>(environment));
            ::_exit(127);
        }
        processes_[pid] = it.settings;
        note("started poplarfrontd, pid " + std::to_string(pid) + ", " + it.ip);
        return pid;
    }

    /// Waits until the instance counts as ready.
    void wait_ready(const front& it, ms timeout = ms{10'000}) {
        const auto until = clock_type::now() + timeout;
        while (clock_type::now() < until) {
            if (is_ready(it)) {
                note("ready: " + it.ip);
                return;
            }
            sleep_for(ms{50});
        }
        throw setup_error{"poplarfrontd does not become ready"};
    }
    [[nodiscard]] static bool is_ready(const front& it) {
        const auto asked = connect_to(it.ip, it.ready);
        if (asked == nullptr || !asked->write("GET /v1/ready HTTP/1.1\r\nHost: ready\r\n\r\n")) {
            return false;
        }
        const auto answer = asked->read_message(ms{1000});
        return answer && answer->status() == 200;
    }

    void signal(pid_t pid, int number) {
        note("signal " + std::to_string(number) + " to pid " + std::to_string(pid));
        ::kill(pid, number);
    }
    /// Waits for the end of a process. False after the timeout.
    bool wait_end(pid_t pid, ms timeout) {
        const auto until = clock_type::now() + timeout;
        while (clock_type::now() < until) {
            int status = 0;
            if (::waitpid(pid, &status, WNOHANG) == pid) {
                processes_.erase(pid);
                note("pid " + std::to_string(pid) + " has ended, status " + std::to_string(status));
                return true;
            }
            sleep_for(ms{10});
        }
        return false;
    }
    /// Whether a process runs.
    bool runs(pid_t pid) {
        int status = 0;
        if (::waitpid(pid, &status, WNOHANG) == pid) {
            processes_.erase(pid);
            note("pid " + std::to_string(pid) + " has ended by itself, status " +
                 std::to_string(status));
            return false;
        }
        return true;
    }

private:
    int number_;
    std::string folder_;
    record record_;
    bool trouble_ = true;
    std::string temporary_;
    std::map<pid_t, std::string> processes_;
    std::set<std::string> files_;
};

/// Runs a case. `body` returns whether the rule was broken.
inline int run_case(int number, int argc, char** argv, const std::function<bool(bench&)>& body) {
    const std::string folder = argc > 1 ? argv[1] : ".";
    int code = exit_not_run;
    try {
        // Not deleted: connections of the stand-ins may still be served on their threads.
        auto& made = *new bench{number, folder};
        try {
            const bool broken = body(made);
            made.note(broken ? "result: the rule is broken" : "result: the rule holds");
            std::cout << (broken ? "broken" : "held") << std::endl;
            code = broken ? exit_broken : exit_held;
        } catch (const std::exception& error) {
            made.note(std::string{"not run: "} + error.what());
            std::cerr << "not run: " << error.what() << std::endl;
        }
        made.finish();
    } catch (const std::exception& error) {
        std::cerr << "not run: " << error.what() << std::endl;
    }
    std::cout.flush();
    ::_exit(code);
}

}  // namespace review
