#pragma once

// Stand-ins for the platform's store, backend servers (leafs) and clients, and control of the
// processes under test. All sockets are on 127.0.0.1. Every stand-in uses one thread for each
// connection.

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
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
#include <csignal>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace review {

using steady = std::chrono::steady_clock;
using std::chrono::milliseconds;

constexpr int exit_held = 0;
constexpr int exit_broken = 1;
constexpr int exit_not_run = 2;

inline void sleep_ms(std::int64_t ms) {
    std::this_thread::sleep_for(milliseconds{ms});
}

// Record of what was sent, answered and run; times are ms since the start of the record.

class recorder {
public:
    explicit recorder(const std::string& path) : file_(std::fopen(path.c_str(), "w")) {
        if (file_ == nullptr) {
            std::fprintf(stderr, "cannot write %s\n", path.c_str());
            std::_Exit(exit_not_run);
        }
    }
    __attribute__((format(printf, 2, 3))) void line(const char* format, ...) {
        const std::lock_guard lock{mutex_};
        std::fprintf(file_, "%8.1f ", ms());
        va_list arguments;
        va_start(arguments, format);
        std::vfprintf(file_, format, arguments);
        va_end(arguments);
        std::fputc('\n', file_);
        std::fflush(file_);
    }
    [[nodiscard]] double ms() const {
        return std::chrono::duration<double, std::milli>(steady::now() - start_).count();
    }

private:
    std::mutex mutex_;
    std::FILE* file_;
    steady::time_point start_ = steady::now();
};

inline std::unique_ptr<recorder> record;

[[noreturn]] void finish(int code);

[[noreturn]] inline void cannot_run(const std::string& reason) {
    record->line("cannot run: %s", reason.c_str());
    std::fprintf(stderr, "cannot run: %s\n", reason.c_str());
    finish(exit_not_run);
}

// Sockets

/// Closes its descriptor at the end of its life.
struct socket_owner {
    int fd = -1;
    explicit socket_owner(int descriptor) : fd(descriptor) {}
    ~socket_owner() {
        if (fd >= 0) {
            ::close(fd);
        }
    }
    socket_owner(const socket_owner&) = delete;
    socket_owner& operator=(const socket_owner&) = delete;
};

inline sockaddr_in loopback(int port) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

inline std::string address_of(int port) {
    return "127.0.0.1:" + std::to_string(port);
}

/// A port that is free now, below those that the system gives to outgoing connections.
inline int free_port() {
    static std::mt19937 random{std::random_device{}()};
    static std::set<int> given;
    while (true) {
        const int port = 10'000 + static_cast<int>(random() % 20'000);
        const socket_owner probe{::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)};
        const auto address = loopback(port);
        if (!given.contains(port) &&
            ::bind(probe.fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0) {
            given.insert(port);
            return port;
        }
    }
}

inline int listen_on(int port) {
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const auto address = loopback(port);
    if (::bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 ||
        ::listen(fd, 512) != 0) {
        cannot_run("cannot listen on a free port");
    }
    return fd;
}

/// Connects to a port on loopback; -1 on failure.
inline int connect_to(int port) {
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const auto address = loopback(port);
    if (::connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
        ::close(fd);
        return -1;
    }
    const int on = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return fd;
}

inline bool send_all(int fd, const std::string& bytes) {
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const auto n = ::send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (n <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(n);
    }
    return true;
}

// HTTP/1.1 messages

struct http_message {
    /// The request line or the status line.
    std::string first_line;
    /// Names in lower case.
    std::multimap<std::string, std::string> fields;
    std::string body;

    [[nodiscard]] std::string field(const std::string& name) const {
        const auto it = fields.find(name);
        return it == fields.end() ? "" : it->second;
    }
    /// The word of the first line with this index.
    [[nodiscard]] std::string word(int index) const {
        std::istringstream words{first_line};
        std::string word;
        for (int it = 0; it <= index; ++it) {
            word.clear();
            words >> word;
        }
        return word;
    }
    [[nodiscard]] int status() const { return std::atoi(word(1).c_str()); }
};

/// Reads messages with a Content-Length, or without a body, from a socket.
class message_reader {
public:
    explicit message_reader(int fd) : fd_(fd) {}

    enum class outcome { complete, closed, broken_off, timed_out };

    outcome read(http_message& message, steady::time_point deadline = steady::time_point::max()) {
        while (true) {
            const auto end = buffer_.find("\r\n\r\n");
            if (end != std::string::npos) {
                std::size_t length = 0;
                parse_head(buffer_.substr(0, end), message, length);
                if (buffer_.size() >= end + 4 + length) {
                    message.body = buffer_.substr(end + 4, length);
                    buffer_.erase(0, end + 4 + length);
                    return outcome::complete;
                }
            }
            pollfd poll{fd_, POLLIN, 0};
            int wait = -1;
            if (deadline != steady::time_point::max()) {
                const auto left =
                    std::chrono::duration_cast<milliseconds>(deadline - steady::now()).count();
                wait = left > 0 ? static_cast<int>(left) + 1 : 0;
            }
            if (::poll(&poll, 1, wait) == 0) {
                return outcome::timed_out;
            }
            char bytes[16384];
            const auto n = ::recv(fd_, bytes, sizeof bytes, 0);
            if (n <= 0) {
                return buffer_.empty() ? outcome::closed : outcome::broken_off;
            }
            buffer_.append(bytes, static_cast<std::size_t>(n));
        }
    }

private:
    static void parse_head(const std::string& head, http_message& message, std::size_t& length) {
        message = {};
        std::istringstream lines{head};
        std::string line;
        while (std::getline(lines, line)) {
            if (!line.empty() && line.back() == '\r') {
                line.pop_back();
            }
            if (message.first_line.empty()) {
                message.first_line = line;
                continue;
            }
            const auto colon = line.find(':');
            auto name = line.substr(0, colon);
            for (auto& it : name) {
                it = static_cast<char>(std::tolower(static_cast<unsigned char>(it)));
            }
            const auto start = line.find_first_not_of(' ', colon + 1);
            message.fields.emplace(name, start == std::string::npos ? "" : line.substr(start));
        }
        length = std::strtoul(message.field("content-length").c_str(), nullptr, 10);
    }

    int fd_;
    std::string buffer_;
};

/// Accepts connections and serves each on a thread of its own. Threads are not joined: the program
/// ends with _Exit.
class acceptor {
public:
    using server = std::function<void(int fd)>;

    acceptor(int port, server serve) : listener_(listen_on(port)) {
        std::thread([fd = listener_, serve = std::move(serve)] {
            while (true) {
                const int accepted = ::accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
                if (accepted < 0) {
                    return;
                }
                const int on = 1;
                ::setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
                std::thread([accepted, serve] {
                    const socket_owner owner{accepted};
                    serve(accepted);
                }).detach();
            }
        }).detach();
    }

private:
    int listener_;
};

// The platform's store

inline std::string base64_encode(const std::string& bytes) {
    static const char* const digits =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t it = 0; it < bytes.size(); it += 3) {
        std::uint32_t group = 0;
        for (std::size_t k = 0; k < 3; ++k) {
            group = group << 8U |
                    (it + k < bytes.size() ? static_cast<unsigned char>(bytes[it + k]) : 0U);
        }
        for (std::size_t k = 0; k < 4; ++k) {
            text += k <= bytes.size() - it ? digits[group >> (18 - 6 * k) & 63U] : '=';
        }
    }
    return text;
}

/// Keys with revisions, ranges in pages, watches, leases and transactions, all linearizable. Values
/// are kept as they are written, encoded as base64 text. Changes are known for `history_time`.
class store {
public:
    explicit store(int port) : port_(port), acceptor_(port, [this](int fd) { serve(fd); }) {}

    [[nodiscard]] std::string address() const { return address_of(port_); }

    /// Writes a key as the operator or a backend server does; returns the revision.
    std::uint64_t put(const std::string& key, const std::string& value) {
        const std::lock_guard lock{mutex_};
        put_locked(key, base64_encode(value), 0);
        return revision_;
    }
    std::uint64_t erase(const std::string& key) {
        const std::lock_guard lock{mutex_};
        erase_locked(key);
        return revision_;
    }
    [[nodiscard]] std::size_t count(const std::string& prefix) const {
        const std::lock_guard lock{mutex_};
        std::size_t n = 0;
        for (const auto& [key, item] : items_) {
            n += key.starts_with(prefix) ? 1 : 0;
        }
        return n;
    }

private:
    struct item {
        std::string value;
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
        std::uint64_t lease = 0;
    };
    struct event {
        std::uint64_t revision = 0;
        std::string key;
        boost::json::object json;
        steady::time_point at = steady::now();
    };
    struct lease {
        std::int64_t ttl_ms = 0;
        steady::time_point ends;
    };

    static boost::json::object to_json(const std::string& key, const item& it) {
        return {{"key", key},
                {"value", it.value},
                {"revision", it.revision},
                {"created", it.created},
                {"lease", it.lease}};
    }

    void put_locked(const std::string& key, const std::string& value, std::uint64_t lease_id) {
        auto& it = items_[key];
        it.value = value;
        it.revision = ++revision_;
        it.created = it.created == 0 ? revision_ : it.created;
        it.lease = lease_id;
        history_.push_back({revision_, key, to_json(key, it)});
        changed_.notify_all();
    }

    void erase_locked(const std::string& key) {
        if (items_.erase(key) > 0) {
            ++revision_;
            history_.push_back(
                {revision_, key, {{"key", key}, {"revision", revision_}, {"deleted", true}}});
            changed_.notify_all();
        }
    }

    void end_leases() {
        const auto now = steady::now();
        for (auto it = leases_.begin(); it != leases_.end();) {
            if (it->second.ends > now) {
                ++it;
                continue;
            }
            std::vector<std::string> keys;
            for (const auto& [key, stored] : items_) {
                if (stored.lease == it->first) {
                    keys.push_back(key);
                }
            }
            for (const auto& key : keys) {
                erase_locked(key);
            }
            it = leases_.erase(it);
        }
    }

    void serve(int fd) {
        message_reader reader{fd};
        http_message request;
        while (reader.read(request) == message_reader::outcome::complete) {
            const auto [status, body] = handle(request);
            const auto response = "HTTP/1.1 " + std::to_string(status) +
                                  " S\r\nContent-Type: application/json\r\nContent-Length: " +
                                  std::to_string(body.size()) + "\r\n\r\n" + body;
            if (!send_all(fd, response)) {
                return;
            }
        }
    }

    static std::string decoded(const std::string& text) {
        std::string plain;
        for (std::size_t it = 0; it < text.size(); ++it) {
            if (text[it] == '%' && it + 2 < text.size()) {
                plain +=
                    static_cast<char>(std::strtol(text.substr(it + 1, 2).c_str(), nullptr, 16));
                it += 2;
            } else {
                plain += text[it];
            }
        }
        return plain;
    }

    static std::map<std::string, std::string> query_of(const std::string& target) {
        std::map<std::string, std::string> query;
        const auto mark = target.find('?');
        std::istringstream parts{mark == std::string::npos ? "" : target.substr(mark + 1)};
        std::string part;
        while (std::getline(parts, part, '&')) {
            const auto equals = part.find('=');
            query[part.substr(0, equals)] =
                equals == std::string::npos ? "" : decoded(part.substr(equals + 1));
        }
        return query;
    }

    std::pair<int, std::string> handle(const http_message& request) {
        const auto target = request.word(1);
        const auto path = target.substr(0, target.find('?'));
        auto query = query_of(target);
        std::unique_lock lock{mutex_};
        end_leases();
        if (path == "/v1/kv-key") {
            const auto it = items_.find(query["key"]);
            if (it == items_.end()) {
                return {404, "{}"};
            }
            auto json = to_json(it->first, it->second);
            json["storeRevision"] = revision_;
            return {200, boost::json::serialize(json)};
        }
        if (path == "/v1/kv-range") {
            return range(query);
        }
        if (path == "/v1/kv-watch") {
            return watch(query, lock);
        }
        boost::json::value body;
        try {
            body = boost::json::parse(request.body.empty() ? "{}" : request.body);
        } catch (const std::exception&) {
            return {400, "{}"};
        }
        if (path == "/v1/kv-txn") {
            return transact(body.as_object());
        }
        if (path == "/v1/kv-lease") {
            const auto ttl = body.at("ttlMs").to_number<std::int64_t>();
            leases_[++last_lease_] = {ttl, steady::now() + milliseconds{ttl}};
            return {200, boost::json::serialize(
                             boost::json::object{{"lease", last_lease_}, {"ttlMs", ttl}})};
        }
        const std::string keep = "/v1/kv-keep/";
        if (path.starts_with(keep)) {
            const auto it = leases_.find(std::strtoull(path.c_str() + keep.size(), nullptr, 10));
            if (it == leases_.end()) {
                return {404, "{}"};
            }
            it->second.ends = steady::now() + milliseconds{it->second.ttl_ms};
            return {200, boost::json::serialize(boost::json::object{{"ttlMs", it->second.ttl_ms}})};
        }
        return {404, "{}"};
    }

    std::pair<int, std::string> range(std::map<std::string, std::string>& query) const {
        boost::json::array items;
        bool more = false;
        for (const auto& [key, it] : items_) {
            if (!key.starts_with(query["pathPrefix"]) ||
                (!query["after"].empty() && key <= query["after"])) {
                continue;
            }
            if (items.size() == 500) {
                more = true;
                break;
            }
            items.push_back(to_json(key, it));
        }
        return {200,
                boost::json::serialize(boost::json::object{
                    {"items", std::move(items)}, {"hasMore", more}, {"storeRevision", revision_}})};
    }

    std::pair<int, std::string> watch(std::map<std::string, std::string>& query,
                                      std::unique_lock<std::mutex>& lock) {
        const auto after = std::strtoull(query["after"].c_str(), nullptr, 10);
        const auto until = steady::now() + milliseconds{std::atoll(query["waitMs"].c_str())};
        while (true) {
            while (!history_.empty() && steady::now() - history_.front().at > history_time) {
                dropped_until_ = history_.front().revision;
                history_.pop_front();
            }
            if (after < dropped_until_) {
                return {410, "{}"};
            }
            boost::json::array events;
            for (const auto& it : history_) {
                if (it.revision > after && it.key.starts_with(query["pathPrefix"])) {
                    events.push_back(it.json);
                }
            }
            if (!events.empty() || steady::now() >= until) {
                return {200, boost::json::serialize(boost::json::object{
                                 {"events", std::move(events)}, {"storeRevision", revision_}})};
            }
            changed_.wait_until(lock, until);
        }
    }

    std::pair<int, std::string> transact(const boost::json::object& call) {
        for (const auto& it : call.at("expect").as_array()) {
            const auto found = items_.find(std::string{it.at("key").as_string()});
            const auto revision = found == items_.end() ? 0 : found->second.revision;
            if (revision != it.at("revision").to_number<std::uint64_t>()) {
                return {412, R"({"items":[]})"};
            }
        }
        for (const auto& it : call.at("puts").as_array()) {
            const auto lease_id =
                it.as_object().contains("lease") ? it.at("lease").to_number<std::uint64_t>() : 0;
            if (lease_id != 0 && !leases_.contains(lease_id)) {
                return {404, "{}"};
            }
        }
        for (const auto& it : call.at("puts").as_array()) {
            const auto lease_id =
                it.as_object().contains("lease") ? it.at("lease").to_number<std::uint64_t>() : 0;
            put_locked(std::string{it.at("key").as_string()},
                       std::string{it.at("value").as_string()}, lease_id);
        }
        for (const auto& it : call.at("deletes").as_array()) {
            erase_locked(std::string{it.as_string()});
        }
        return {200, boost::json::serialize(boost::json::object{{"revision", revision_}})};
    }

    /// historyS of the platform's pages.
    static constexpr auto history_time = std::chrono::seconds{20};

    int port_;
    mutable std::mutex mutex_;
    std::condition_variable changed_;
    /// Changes up to this revision are no longer known.
    std::uint64_t dropped_until_ = 0;
    std::map<std::string, item> items_;
    std::deque<event> history_;
    std::map<std::uint64_t, lease> leases_;
    std::uint64_t revision_ = 1;
    std::uint64_t last_lease_ = 0;
    acceptor acceptor_;
};

// Backend servers

/// A backend server that serves one request at a time on each connection. The handler is called
/// with each request that names this backend server, and writes the response itself; if it returns
/// false, the connection is closed.
class leaf {
public:
    using handler = std::function<bool(leaf& self, const http_message& request, int fd)>;

    leaf(std::string id, std::string service, handler on_request)
        : id_(std::move(id)),
          service_(std::move(service)),
          port_(free_port()),
          on_request_(std::move(on_request)),
          acceptor_(port_, [this](int fd) { serve(fd); }) {}

    [[nodiscard]] const std::string& id() const { return id_; }
    [[nodiscard]] const std::string& service() const { return service_; }

    /// The entry that the backend server keeps in the store.
    [[nodiscard]] std::string entry(int capacity, const std::string& zone,
                                    const std::string& state = "ready") {
        return boost::json::serialize(boost::json::object{{"service", service_},
                                                          {"address", address_of(port_)},
                                                          {"zone", zone},
                                                          {"version", "v1"},
                                                          {"capacity", capacity},
                                                          {"state", state},
                                                          {"coldRemainingMs", 0},
                                                          {"seq", ++sequence_},
                                                          {"born", 1764000000000}});
    }

private:
    void serve(int fd) {
        message_reader reader{fd};
        http_message request;
        while (reader.read(request) == message_reader::outcome::complete) {
            if (request.field("expect-instance") != id_) {
                if (!send_all(fd, "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: " + id_ +
                                      "\r\nContent-Length: 0\r\n\r\n")) {
                    return;
                }
                continue;
            }
            if (!on_request_(*this, request, fd)) {
                return;
            }
        }
    }

    std::string id_;
    std::string service_;
    int port_;
    int sequence_ = 0;
    handler on_request_;
    acceptor acceptor_;
};

inline std::string response(const std::string& id, const std::string& stamp,
                            const std::string& body) {
    return "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nServer-Stamp: " + stamp +
           "\r\nKeep-Alive: timeout=5\r\nContent-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
}

// Processes under test

inline std::vector<pid_t> started_processes;

class process {
public:
    process(std::vector<std::string> command, const std::string& log)
        : command_(std::move(command)), log_(log) {}

    void start() {
        std::vector<char*> arguments;
        for (auto& it : command_) {
            arguments.push_back(it.data());
        }
        arguments.push_back(nullptr);
        id_ = ::fork();
        if (id_ == 0) {
            const int fd = ::open(log_.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            ::dup2(fd, STDOUT_FILENO);
            ::dup2(fd, STDERR_FILENO);
            ::execv(arguments[0], arguments.data());
            ::_exit(127);
        }
        started_processes.push_back(id_);
        status_.reset();
    }
    void signal(int number) const { ::kill(id_, number); }
    /// Whether the process has ended by now.
    bool ended() {
        int status = 0;
        if (!status_ && ::waitpid(id_, &status, WNOHANG) == id_) {
            status_ = status;
            std::erase(started_processes, id_);
        }
        return status_.has_value();
    }
    bool await_end(std::int64_t limit_ms) {
        const auto until = steady::now() + milliseconds{limit_ms};
        while (!ended() && steady::now() < until) {
            sleep_ms(5);
        }
        return ended();
    }
    /// "running", "exit code N" or "signal N".
    std::string state() {
        if (!ended()) {
            return "running";
        }
        return WIFSIGNALED(*status_) ? "ended by signal " + std::to_string(WTERMSIG(*status_))
                                     : "exit code " + std::to_string(WEXITSTATUS(*status_));
    }
    [[nodiscard]] pid_t id() const { return id_; }

private:
    std::vector<std::string> command_;
    std::string log_;
    pid_t id_ = -1;
    std::optional<int> status_;
};

/// Ends the processes that are still running, and this program.
[[noreturn]] inline void finish(int code) {
    std::fflush(nullptr);
    for (const auto it : started_processes) {
        ::kill(it, SIGKILL);
        ::waitpid(it, nullptr, 0);
    }
    std::_Exit(code);
}

inline std::string read_file(const std::string& path) {
    std::ifstream in{path};
    std::ostringstream text;
    text << in.rdbuf();
    return text.str();
}

/// The bounds and limits of a small deployment, as the platform's pages give them.
inline std::map<std::string, std::string> small_deployment() {
    return {{"region", "bengal-south"},
            {"limits.cpuShare", "0.17"},
            {"bounds.retryBudgetRatio", "0.2"},
            {"bounds.budgetSlack", "116"}};
}

/// One instance, started with the command of deploy/system.toml and settings that are rendered from
/// its template.
class front {
public:
    front(const std::string& root, const std::string& folder, const std::string& name,
          const std::string& zone, const std::string& store_address,
          std::map<std::string, std::string> fields)
        : name_(name),
          template_(read_file(root + "/deploy/front.ini")),
          settings_file_(folder + "/" + name + ".toml"),
          fields_(std::move(fields)),
          clients_(free_port()),
          ready_(free_port()),
          control_(free_port()),
          operators_(free_port()),
          process_({root + "/target/packages/daemon/poplarfrontd", "--config", settings_file_},
                   folder + "/" + name + ".log") {
        fields_["node"] = name;
        fields_["zone"] = zone;
        fields_["listen.front"] = address_of(clients_);
        fields_["listen.ready"] = address_of(ready_);
        fields_["listen.control"] = address_of(control_);
        fields_["platform.address"] = store_address;
        if (template_.empty()) {
            cannot_run("deploy/front.ini is missing");
        }
        if (::access((root + "/target/packages/daemon/poplarfrontd").c_str(), X_OK) != 0) {
            cannot_run("the build of the deploy file is missing");
        }
        write_settings();
    }

    [[nodiscard]] std::string control_address() const { return address_of(control_); }
    [[nodiscard]] int clients_port() const { return clients_; }
    [[nodiscard]] const std::string& name() const { return name_; }
    process& running() { return process_; }
    void set_field(const std::string& name, const std::string& value) {
        fields_[name] = value;
        write_settings();
    }

    void start() {
        process_.start();
        record->line("%s: started, process %d", name_.c_str(), static_cast<int>(process_.id()));
    }

    /// Whether GET /v1/ready has status 200.
    [[nodiscard]] bool is_ready() const {
        const socket_owner connection{connect_to(ready_)};
        if (connection.fd < 0 ||
            !send_all(connection.fd, "GET /v1/ready HTTP/1.1\r\nHost: platform\r\n\r\n")) {
            return false;
        }
        message_reader reader{connection.fd};
        http_message answer;
        return reader.read(answer, steady::now() + milliseconds{500}) ==
                   message_reader::outcome::complete &&
               answer.status() == 200;
    }
    void await_ready(std::int64_t limit_ms = 10'000) {
        const auto until = steady::now() + milliseconds{limit_ms};
        while (!is_ready()) {
            if (steady::now() > until) {
                cannot_run(name_ + " is not ready in time");
            }
            sleep_ms(2);
        }
    }

private:
    void write_settings() {
        auto text = template_;
        // The one composed value of the template: the operators' address is {{ip}}:9464, and 9464
        // may be in use here.
        replace(text, "{{ip}}:9464", address_of(operators_));
        replace(text, "{{ip}}", "127.0.0.1");
        for (const auto& [name, value] : fields_) {
            replace(text, "{{" + name + "}}", value);
        }
        // A value that the deployment does not have is left empty, as the platform does.
        for (auto at = text.find("{{"); at != std::string::npos; at = text.find("{{")) {
            text.erase(at, text.find("}}", at) + 2 - at);
        }
        const auto next = settings_file_ + ".next";
        std::ofstream{next} << text;
        std::rename(next.c_str(), settings_file_.c_str());
    }
    static void replace(std::string& text, const std::string& from, const std::string& to) {
        for (auto at = text.find(from); at != std::string::npos; at = text.find(from)) {
            text.replace(at, from.size(), to);
        }
    }

    std::string name_;
    std::string template_;
    std::string settings_file_;
    std::map<std::string, std::string> fields_;
    int clients_;
    int ready_;
    int control_;
    int operators_;
    process process_;
};

// Start of a case

struct options {
    /// The repository.
    std::string root;
    /// A new temporary folder for settings and logs.
    std::string folder;
    /// Whether the disruption happens.
    bool trouble = true;
};

/// Usage: CASE REPOSITORY RECORD FOLDER. TROUBLE=0 leaves the disruption out.
inline options begin(int argc, char** argv) {
    std::signal(SIGPIPE, SIG_IGN);
    if (argc != 4) {
        std::fprintf(stderr, "usage: %s REPOSITORY RECORD FOLDER\n", argv[0]);
        std::exit(exit_not_run);
    }
    record = std::make_unique<recorder>(argv[2]);
    // A hang of the case itself must not outlast its time.
    std::thread([] {
        sleep_ms(115'000);
        record->line("cannot run: out of time");
        finish(exit_not_run);
    }).detach();
    const char* const trouble = std::getenv("TROUBLE");
    return {argv[1], argv[3], trouble == nullptr || std::string{trouble} != "0"};
}

}  // namespace review
