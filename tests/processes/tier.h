#pragma once

#include <boost/json.hpp>
#include <chrono>
#include <filesystem>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "runtime/fiber_thread.h"
#include "runtime/http_client.h"
#include "support/child_process.h"
#include "support/eventually.h"

namespace poplarfront::process_tests {

using std::chrono::milliseconds;
using std::chrono::seconds;
using test_support::eventually;

/// What a caller sees of a search.
struct search_view {
    /// HTTP status; 0 without a response.
    unsigned status = 0;
    bool complete = false;
    std::size_t covered = 0;
    std::vector<std::string> reasons;
    std::uint64_t index_version = 0;
    std::uint64_t map_revision = 0;
    /// Bodies of the records, which state their index version.
    std::vector<std::string> bodies;
    std::string text;

    /// Whether all records have the index version of the answer.
    [[nodiscard]] bool is_one_version() const;
};

struct tier_options {
    std::size_t instances = 3;
    std::size_t shards = 4;
    /// direct or owned.
    std::string mode = "owned";
    /// Further arguments of each backend server.
    std::vector<std::string> backend_arguments = {"--latency-us", "1000"};
    /// Further lines of the policy section.
    std::string policy;
    /// Whether the sections are published before the instances start.
    bool publish = true;
};

/// Result of a program that was run to its end.
struct program_result {
    int code = -1;
    std::string output;
};

/// A store, backend servers and instances, each a process of its own. Shard k of service `records`
/// is on backend servers 2k and 2k + 1. Addresses are taken from the process id of the test, so
/// that two runs do not meet.
///
/// Thread safety: `search` and `get` may be called from any thread, the others from one.
class tier {
public:
    explicit tier(tier_options options = {});
    ~tier();
    tier(const tier&) = delete;
    tier& operator=(const tier&) = delete;

    [[nodiscard]] test_support::child_process& store() { return *store_; }
    [[nodiscard]] test_support::child_process& backend(std::size_t n) { return *backends_.at(n); }
    [[nodiscard]] test_support::child_process& instance(std::size_t n) { return *instances_.at(n); }
    [[nodiscard]] std::size_t instances() const { return instances_.size(); }
    [[nodiscard]] std::size_t backends() const { return backends_.size(); }
    [[nodiscard]] std::string caller_address(std::size_t n) const;
    [[nodiscard]] std::string peer_address(std::size_t n) const;
    [[nodiscard]] std::string operator_address(std::size_t n) const;
    [[nodiscard]] std::string instance_name(std::size_t n) const;
    [[nodiscard]] static std::string server_name(std::size_t n);

    /// Starts one more instance; it names the first `seeds` instances as seeds.
    std::size_t start_instance(std::size_t seeds);
    void start_backend(std::size_t n);

    /// Starts poplarctl. Needs `wait` by the caller.
    std::unique_ptr<test_support::child_process> start_poplarctl(
        const std::vector<std::string>& arguments);
    program_result poplarctl(const std::vector<std::string>& arguments);
    /// Publishes a section and waits until it is in force on the running instances.
    program_result publish(const std::string& section, const std::string& text);
    std::filesystem::path write_file(const std::string& name, const std::string& text) const;
    /// The shards section; `shards` replaces the number of shards, the backend servers stay.
    [[nodiscard]] std::string shards_section(std::size_t shards) const;
    [[nodiscard]] std::string policy_section() const;

    search_view search(std::size_t instance, const std::string& query,
                       milliseconds deadline = seconds{3}) const;
    runtime::call_result call(const std::string& address, const runtime::http_request& request,
                              milliseconds limit) const;
    /// The body of a GET as JSON; null without a response.
    [[nodiscard]] boost::json::value get(const std::string& address, const std::string& target,
                                         milliseconds limit = seconds{2}) const;
    void set_store_fault(const std::string& json) const;
    void control_backend(std::size_t n, const std::string& json) const;
    [[nodiscard]] std::uint64_t backend_count(std::size_t n, const std::string& counter) const;
    /// Status of instance `subject` in the view of instance `viewer`; empty if unknown.
    [[nodiscard]] std::string status_seen(std::size_t viewer, std::size_t subject) const;
    /// Document revision in force on an instance; 0 if it does not answer.
    [[nodiscard]] std::uint64_t revision(std::size_t instance) const;
    [[nodiscard]] std::string operator_addresses() const;

private:
    [[nodiscard]] std::string address(std::size_t host, std::size_t port) const;
    [[nodiscard]] std::string store_address() const;
    [[nodiscard]] std::string backend_address(std::size_t n) const;
    [[nodiscard]] std::string instance_settings(std::size_t n, std::size_t seeds) const;
    void wait_until_ready() const;

    tier_options options_;
    std::size_t port_offset_;
    std::size_t programs_ = 0;
    std::filesystem::path directory_;
    std::shared_ptr<runtime::fiber_thread> thread_;
    std::shared_ptr<runtime::http_client> client_;
    std::unique_ptr<test_support::child_process> store_;
    std::vector<std::unique_ptr<test_support::child_process>> backends_;
    std::vector<std::unique_ptr<test_support::child_process>> instances_;
};

/// Sends searches from threads of its own until it is stopped.
class search_load {
public:
    /// One thread for each of `instances`.
    search_load(const tier& target, const std::vector<std::size_t>& instances, std::string query);
    ~search_load();
    search_load(const search_load&) = delete;
    search_load& operator=(const search_load&) = delete;

    /// Ends the threads and returns all answers.
    std::vector<search_view> stop();

private:
    std::atomic<bool> stopping_ = false;
    std::mutex mutex_;
    std::vector<search_view> answers_;
    std::vector<std::thread> threads_;
};

/// Number of answers that are not complete.
std::size_t incomplete(const std::vector<search_view>& answers);
/// The first incomplete answer, for messages.
std::string first_incomplete(const std::vector<search_view>& answers);

}  // namespace poplarfront::process_tests
