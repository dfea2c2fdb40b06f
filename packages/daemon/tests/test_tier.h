#pragma once

#include <array>
#include <boost/json.hpp>
#include <functional>
#include <future>
#include <memory>
#include <ostream>
#include <string>

#include "backend_server/backend_server.h"
#include "runtime/http_client.h"
#include "standins/store/store_standin.h"
#include "support/child_process.h"
#include "support/eventually.h"

namespace poplarfront::daemon {

using test_support::eventually;

inline constexpr std::size_t instance_count = 3;

/// What a caller sends.
struct test_action {
    std::string key;
    std::string searcher = "acme";
    std::chrono::milliseconds deadline{2000};
    std::string body = "book";
    friend auto operator<=>(const test_action&, const test_action&) = default;
};

/// What a caller is answered; `status` is "refused" for a refusal.
struct test_answer {
    std::string status;
    std::string reply;
    std::string reason;
    std::string searcher;
    friend auto operator<=>(const test_answer&, const test_answer&) = default;
};

std::ostream& operator<<(std::ostream& out, const test_answer& it);

/// Three instances as processes, with the store and one backend server as stand-ins in this
/// process. All addresses are loopback addresses with free ports.
class test_tier {
public:
    /// Returns when all instances know each other and the configuration.
    test_tier();
    ~test_tier();
    test_tier(const test_tier&) = delete;
    test_tier& operator=(const test_tier&) = delete;

    /// Sends an action through an instance and waits for the answer.
    test_answer send(std::size_t instance, const test_action& action);
    std::future<test_answer> send_later(std::size_t instance, const test_action& action);

    /// The state dump of an instance.
    boost::json::object state(std::size_t instance);
    /// The status of `other` as `instance` knows it; empty if it is not known.
    std::string status_at(std::size_t instance, std::size_t other);

    /// Changes the behaviour of the store: the body of `POST /fault`.
    void store_fault(const std::string& body);
    standins::backend_server& backend() { return *backend_; }
    /// How often the backend server has executed the action with this key.
    std::uint64_t executions(const std::string& key) const;
    test_support::child_process& process(std::size_t instance) { return *processes_[instance]; }

    /// A key never used before whose home is `instance` while all instances are alive.
    std::string key_with_home(std::size_t instance, const std::string& searcher = "acme");

private:
    struct addresses {
        std::string callers;
        std::string peers;
        std::string operators;
    };

    runtime::call_result call(const std::string& address, const runtime::http_request& request,
                              std::chrono::milliseconds limit);
    void write_configuration();
    void write_settings();

    std::string folder_;
    std::shared_ptr<runtime::fiber_thread> standin_thread_;
    std::shared_ptr<runtime::fiber_thread> client_thread_;
    std::shared_ptr<runtime::http_client> client_;
    std::unique_ptr<standins::store_standin> store_;
    std::unique_ptr<standins::backend_server> backend_;
    std::array<addresses, instance_count> addresses_;
    std::array<std::unique_ptr<test_support::child_process>, instance_count> processes_;
    std::uint64_t last_key_ = 0;
};

}  // namespace poplarfront::daemon
