#include "processes/tier.h"

#include <signal.h>
#include <unistd.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <fstream>

namespace poplarfront::process_tests {
namespace {

constexpr std::size_t store_port = 7000;
constexpr std::size_t caller_port = 8000;
constexpr std::size_t peer_port = 8300;
constexpr std::size_t operator_port = 8600;
constexpr std::size_t backend_port = 9000;
constexpr std::size_t store_host = 1;
constexpr std::size_t first_instance_host = 10;
constexpr std::size_t first_backend_host = 100;
constexpr auto ready_limit = seconds{10};
constexpr auto program_limit = seconds{15};
constexpr auto call_limit = seconds{2};
constexpr std::size_t client_connections = 64;
const std::string deployment = "process-tests";

/// Each tier of a run has ports of its own, so that late messages to an earlier one are lost.
std::size_t next_port_offset() {
    static std::size_t tiers = 0;
    return tiers++;
}

std::filesystem::path make_directory() {
    auto pattern = (std::filesystem::temp_directory_path() / "process-tests-XXXXXX").string();
    REQUIRE(mkdtemp(pattern.data()) != nullptr);
    return pattern;
}

search_view to_view(const runtime::call_result& result) {
    search_view view;
    if (result.status != runtime::call_status::answered) {
        return view;
    }
    view.status = result.response.status;
    view.text = result.response.body;
    boost::json::error_code ec;
    const auto body = boost::json::parse(view.text, ec);
    const auto* answer = body.if_object();
    if (ec || answer == nullptr || !answer->contains("complete")) {
        return view;
    }
    view.complete = answer->at("complete").as_bool();
    view.covered = answer->at("covered").as_array().size();
    view.index_version = answer->at("index_version").to_number<std::uint64_t>();
    view.map_revision = answer->at("shard_map_revision").to_number<std::uint64_t>();
    for (const auto& it : answer->at("missing").as_array()) {
        view.reasons.emplace_back(it.at("reason").as_string());
    }
    for (const auto& it : answer->at("records").as_array()) {
        view.bodies.emplace_back(it.at("body").as_string());
    }
    return view;
}

}  // namespace

bool search_view::is_one_version() const {
    // The stand-in's records begin with "version=N".
    const auto expected = "version=" + std::to_string(index_version) + " ";
    return std::all_of(bodies.begin(), bodies.end(),
                       [&](const auto& it) { return (it + " ").starts_with(expected); });
}

tier::tier(tier_options options)
    : options_(std::move(options)),
      port_offset_(next_port_offset()),
      directory_(make_directory()),
      thread_(runtime::fiber_thread::create("test-client")) {
    thread_->run([this] { client_ = runtime::http_client::create(thread_); });
    store_ = std::make_unique<test_support::child_process>(
        std::vector<std::string>{STORE_PROGRAM, "--listen", store_address()},
        directory_ / "store.log");
    backends_.resize(options_.shards * 2);
    for (std::size_t n = 0; n < backends_.size(); ++n) {
        start_backend(n);
    }
    REQUIRE(
        eventually(ready_limit, [this] { return !get(store_address(), "/counters").is_null(); }));
    if (options_.publish) {
        REQUIRE(publish("shards", shards_section(options_.shards)).code != 1);
        REQUIRE(publish("policy", policy_section()).code != 1);
    }
    for (std::size_t n = 0; n < options_.instances; ++n) {
        start_instance(options_.instances);
    }
    wait_until_ready();
}

tier::~tier() {
    instances_.clear();
    backends_.clear();
    store_.reset();
    thread_->run([this] { client_.reset(); });
    thread_->stop();
    std::error_code ignored;
    std::filesystem::remove_all(directory_, ignored);
}

void tier::wait_until_ready() const {
    for (std::size_t viewer = 0; viewer < instances_.size(); ++viewer) {
        const bool ready = eventually(ready_limit, [&] {
            for (std::size_t n = 0; n < instances_.size(); ++n) {
                if (status_seen(viewer, n) != "alive") {
                    return false;
                }
            }
            return !options_.publish || revision(viewer) >= 2;
        });
        INFO("instance " << viewer << ": " << instances_[viewer]->output() << "\n"
                         << get(operator_address(viewer), "/state"));
        REQUIRE(ready);
    }
}

std::string tier::address(std::size_t host, std::size_t port) const {
    constexpr int first_network = 128;
    constexpr int networks = 120;
    constexpr int subnets = 250;
    const auto pid = getpid();
    return "127." + std::to_string(first_network + pid / subnets % networks) + "." +
           std::to_string(pid % subnets) + "." + std::to_string(host) + ":" +
           std::to_string(port + port_offset_);
}

std::string tier::store_address() const {
    return address(store_host, store_port);
}
std::string tier::backend_address(std::size_t n) const {
    return address(first_backend_host + n, backend_port);
}
std::string tier::caller_address(std::size_t n) const {
    return address(first_instance_host + n, caller_port);
}
std::string tier::peer_address(std::size_t n) const {
    return address(first_instance_host + n, peer_port);
}
std::string tier::operator_address(std::size_t n) const {
    return address(first_instance_host + n, operator_port);
}
std::string tier::instance_name(std::size_t n) const {
    return "instance-" + std::to_string(n);
}
std::string tier::server_name(std::size_t n) {
    return "server-" + std::to_string(n);
}

std::string tier::operator_addresses() const {
    std::string text;
    for (std::size_t n = 0; n < instances_.size(); ++n) {
        text += (n > 0 ? "," : "") + operator_address(n);
    }
    return text;
}

std::string tier::instance_settings(std::size_t n, std::size_t seeds) const {
    std::string text =
        "[instance]\nname = " + instance_name(n) +
        "\ndata_centre = howrah\ndeployment = " + deployment +
        "\n\n[listen]\ncallers = " + caller_address(n) + "\npeers = " + peer_address(n) +
        "\noperators = " + operator_address(n) +
        "\ndrain_ms = 5000\nstop_delay_ms = 1500\n\n[store]\naddress = " + store_address() + "\n";
    if (seeds > 0) {
        text += "\n[peers]\nseeds = ";
        for (std::size_t i = 0; i < seeds; ++i) {
            text += (i > 0 ? ", " : "") + instance_name(i) + "@" + peer_address(i);
        }
        text += "\n";
    }
    return text;
}

std::size_t tier::start_instance(std::size_t seeds) {
    const auto n = instances_.size();
    const auto file = write_file(instance_name(n) + ".ini", instance_settings(n, seeds));
    instances_.push_back(std::make_unique<test_support::child_process>(
        std::vector<std::string>{POPLARFRONTD_PROGRAM, "--config", file.string()},
        directory_ / (instance_name(n) + ".log")));
    return n;
}

void tier::start_backend(std::size_t n) {
    std::string all;
    for (std::size_t shard = 0; shard < options_.shards; ++shard) {
        all += (shard > 0 ? "," : "") + ("records:" + std::to_string(shard));
    }
    std::vector<std::string> command{BACKEND_SERVER_PROGRAM,
                                     "--listen",
                                     backend_address(n),
                                     "--name",
                                     server_name(n),
                                     "--shards",
                                     "records:" + std::to_string(n / 2),
                                     "--service-shards",
                                     all};
    command.insert(command.end(), options_.backend_arguments.begin(),
                   options_.backend_arguments.end());
    backends_.at(n) = std::make_unique<test_support::child_process>(
        command, directory_ / (server_name(n) + ".log"));
}

std::filesystem::path tier::write_file(const std::string& name, const std::string& text) const {
    auto path = directory_ / name;
    std::ofstream{path} << text;
    return path;
}

std::string tier::shards_section(std::size_t shards) const {
    std::string text;
    for (std::size_t n = 0; n < backends_.size(); ++n) {
        text += "[server " + server_name(n) + "]\naddress = " + backend_address(n) +
                "\ndata_centre = howrah\nslots = 8\nconnections = 55\n\n";
    }
    text += "[service records]\n";
    for (std::size_t shard = 0; shard < shards; ++shard) {
        const auto first = shard * 2 % backends_.size();
        text += "shard." + std::to_string(shard) + " = " + server_name(first) + " " +
                server_name(first + 1) + "\n";
    }
    return text;
}

std::string tier::policy_section() const {
    return "[ownership]\nmode = " + options_.mode + "\ngroup_size = 1\nowners_per_group = 2\n" +
           options_.policy;
}

std::unique_ptr<test_support::child_process> tier::start_poplarctl(
    const std::vector<std::string>& arguments) {
    std::vector<std::string> command{POPLARCTL_PROGRAM, "--store", store_address(), "--deployment",
                                     deployment};
    if (!instances_.empty()) {
        command.insert(command.end(), {"--instances", operator_addresses()});
    }
    command.insert(command.end(), arguments.begin(), arguments.end());
    const auto log = directory_ / ("poplarctl-" + std::to_string(programs_++) + ".log");
    return std::make_unique<test_support::child_process>(command, log);
}

program_result tier::poplarctl(const std::vector<std::string>& arguments) {
    const auto program = start_poplarctl(arguments);
    const auto code = program->wait(program_limit);
    return {code.value_or(-1), program->output()};
}

program_result tier::publish(const std::string& section, const std::string& text) {
    const auto file = write_file(section + "-" + std::to_string(programs_) + ".ini", text);
    std::vector<std::string> arguments{"--timeout-ms", "5000", "write", section, file.string()};
    if (!instances_.empty()) {
        arguments.insert(arguments.begin(), "--follow");
    }
    auto result = poplarctl(arguments);
    INFO("publishing " << section << ": " << result.output);
    CHECK(result.code == 0);
    return result;
}

runtime::call_result tier::call(const std::string& address, const runtime::http_request& request,
                                milliseconds limit) const {
    runtime::call_result result;
    thread_->run([&] {
        result = client_->call(address, request, std::chrono::steady_clock::now() + limit,
                               client_connections);
    });
    return result;
}

boost::json::value tier::get(const std::string& address, const std::string& target,
                             milliseconds limit) const {
    const auto result = call(address, {"GET", target, "", ""}, limit);
    if (result.status != runtime::call_status::answered) {
        return nullptr;
    }
    boost::json::error_code ec;
    auto value = boost::json::parse(result.response.body, ec);
    return ec ? boost::json::value{nullptr} : value;
}

search_view tier::search(std::size_t instance, const std::string& query,
                         milliseconds deadline) const {
    const auto body =
        boost::json::serialize(boost::json::object{{"searcher", "grower"},
                                                   {"services", boost::json::array{"records"}},
                                                   {"query", query},
                                                   {"deadline_ms", deadline.count()}});
    return to_view(call(caller_address(instance), {"POST", "/v1/search", body, ""},
                        deadline + milliseconds{call_limit}));
}

void tier::set_store_fault(const std::string& json) const {
    const auto result = call(store_address(), {"POST", "/fault", json, ""}, call_limit);
    REQUIRE(result.status == runtime::call_status::answered);
    REQUIRE(result.response.status < 300);
}

void tier::control_backend(std::size_t n, const std::string& json) const {
    const auto result = call(backend_address(n), {"POST", "/control", json, ""}, call_limit);
    INFO(result.response.body);
    REQUIRE(result.status == runtime::call_status::answered);
    REQUIRE(result.response.status < 300);
}

std::uint64_t tier::backend_count(std::size_t n, const std::string& counter) const {
    const auto counters = get(backend_address(n), "/counters");
    const auto* object = counters.if_object();
    return object == nullptr ? 0 : object->at(counter).to_number<std::uint64_t>();
}

std::string tier::status_seen(std::size_t viewer, std::size_t subject) const {
    const auto state = get(operator_address(viewer), "/state");
    const auto* object = state.if_object();
    if (object == nullptr) {
        return "";
    }
    const auto& instances = object->at("tier").at("instances").as_object();
    const auto* row = instances.if_contains(instance_name(subject));
    return row == nullptr ? "" : std::string{row->at("status").as_string()};
}

std::uint64_t tier::revision(std::size_t instance) const {
    const auto state = get(operator_address(instance), "/state");
    const auto* object = state.if_object();
    return object == nullptr ? 0 : object->at("tier").at("revision").to_number<std::uint64_t>();
}

search_load::search_load(const tier& target, const std::vector<std::size_t>& instances,
                         std::string query) {
    for (const auto instance : instances) {
        threads_.emplace_back([this, &target, instance, query] {
            while (!stopping_) {
                auto answer = target.search(instance, query);
                const std::lock_guard lock{mutex_};
                answers_.push_back(std::move(answer));
            }
        });
    }
}

search_load::~search_load() {
    stop();
}

std::vector<search_view> search_load::stop() {
    stopping_ = true;
    for (auto& it : threads_) {
        it.join();
    }
    threads_.clear();
    return answers_;
}

std::size_t incomplete(const std::vector<search_view>& answers) {
    return static_cast<std::size_t>(
        std::count_if(answers.begin(), answers.end(), [](const auto& it) { return !it.complete; }));
}

std::string first_incomplete(const std::vector<search_view>& answers) {
    const auto it = std::find_if(answers.begin(), answers.end(),
                                 [](const auto& answer) { return !answer.complete; });
    return it == answers.end() ? "" : std::to_string(it->status) + " " + it->text;
}

}  // namespace poplarfront::process_tests
