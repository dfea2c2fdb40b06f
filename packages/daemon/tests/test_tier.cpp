#include "daemon/tests/test_tier.h"

#include <unistd.h>

#include <boost/asio/ip/tcp.hpp>
#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <thread>
#include <vector>

#include "at_most_once/claim.h"
#include "control_client/run.h"

namespace poplarfront::daemon {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

std::string name_of(std::size_t instance) {
    return "i-" + std::to_string(instance);
}

/// A loopback address of this test process alone. On 127.0.0.1 a port found free was taken by an
/// outgoing connection or by another test process before the instance listened on it.
std::string own_loopback_address() {
    constexpr unsigned byte_mask = 0xff;
    constexpr unsigned top_mask = 0x3f;
    constexpr unsigned first_top = 128;
    const auto pid = static_cast<unsigned>(getpid());
    return "127." + std::to_string(first_top + ((pid >> 16U) & top_mask)) + "." +
           std::to_string((pid >> 8U) & byte_mask) + "." + std::to_string(pid & byte_mask);
}

/// Free ports; all are held until the last is found, so that none is given twice.
std::vector<std::string> free_addresses(std::size_t n) {
    using boost::asio::ip::tcp;
    boost::asio::io_context context;
    const auto address = own_loopback_address();
    std::vector<tcp::acceptor> held;
    std::vector<std::string> found;
    for (std::size_t i = 0; i < n; ++i) {
        held.emplace_back(context, tcp::endpoint{boost::asio::ip::make_address(address), 0});
        found.push_back(address + ":" + std::to_string(held.back().local_endpoint().port()));
    }
    return found;
}

std::string temporary_folder() {
    std::string path = "/tmp/daemon_test_XXXXXX";
    REQUIRE(mkdtemp(path.data()) != nullptr);
    return path;
}

std::string text_of(const boost::json::object& object, std::string_view field) {
    const auto* value = object.if_contains(field);
    return value != nullptr && value->is_string() ? std::string{value->get_string()}
                                                  : std::string{};
}

test_answer decode_answer(const runtime::call_result& result) {
    REQUIRE(result.status == runtime::call_status::answered);
    const auto object = boost::json::parse(result.response.body).as_object();
    if (object.contains("error")) {
        return {"refused", "", text_of(object.at("error").as_object(), "type"), ""};
    }
    return {text_of(object, "status"), text_of(object, "reply"), text_of(object, "reason"),
            text_of(object, "searcher")};
}

}  // namespace

std::ostream& operator<<(std::ostream& out, const test_answer& it) {
    return out << it.status << " reply=" << it.reply << " reason=" << it.reason
               << " searcher=" << it.searcher;
}

test_tier::test_tier()
    : folder_(temporary_folder()),
      standin_thread_(runtime::fiber_thread::create("standins")),
      client_thread_(runtime::fiber_thread::create("callers")),
      client_(runtime::http_client::create(client_thread_)) {
    auto store = standins::store_standin::create(standin_thread_, {});
    REQUIRE(store);
    store_ = std::move(store.value());
    standins::backend_server_options options;
    options.behaviour.slots = 8;
    auto layout = standins::make_layout({0}, {"billing:0"}, {});
    REQUIRE(layout);
    options.behaviour.layouts = {layout.value()};
    auto backend = standins::backend_server::create(standin_thread_, options);
    REQUIRE(backend);
    backend_ = std::move(backend.value());
    write_configuration();
    write_settings();
    for (std::size_t i = 0; i < instance_count; ++i) {
        processes_[i] = std::make_unique<test_support::child_process>(
            std::vector<std::string>{POPLARFRONTD_PATH, "--config",
                                     folder_ + "/" + name_of(i) + ".ini"},
            folder_ + "/" + name_of(i) + ".log");
    }
    for (std::size_t i = 0; i < instance_count; ++i) {
        std::string last;
        const bool ready = eventually(seconds{10}, [&] {
            const auto known = state(i);
            last = boost::json::serialize(known);
            return known.contains("tier") && known.at("tier").at("revision") != 0 &&
                   status_at(i, 0) == "alive" && status_at(i, 1) == "alive" &&
                   status_at(i, 2) == "alive";
        });
        const auto exit_code = processes_[i]->wait(milliseconds{20});
        INFO(name_of(i) << " exit code " << exit_code.value_or(-1) << ": " << last);
        REQUIRE(ready);
    }
}

test_tier::~test_tier() {
    for (auto& process : processes_) {
        process.reset();
    }
    backend_->stop(milliseconds{200});
    store_->stop();
    client_thread_->stop();
    standin_thread_->stop();
    std::filesystem::remove_all(folder_);
}

void test_tier::write_configuration() {
    const auto file = folder_ + "/shards.ini";
    std::ofstream{file} << "[server b]\naddress = " << backend_->address()
                        << "\ndata_centre = d\nslots = 8\nconnections = 55\n\n"
                           "[service billing]\nshard.0 = b\n";
    std::ostringstream out;
    std::ostringstream err;
    const auto code = control_client::run(
        {"write", "shards", file, "--store", "127.0.0.1:" + std::to_string(store_->port()),
         "--deployment", "test", "--timeout-ms", "5000"},
        "1", out, err);
    INFO(err.str());
    REQUIRE(code == control_client::exit_code::success);
}

void test_tier::write_settings() {
    constexpr std::size_t per_instance = 3;
    const auto free = free_addresses(instance_count * per_instance);
    std::string seeds;
    for (std::size_t i = 0; i < instance_count; ++i) {
        const auto* own = &free[i * per_instance];
        addresses_[i] = {own[0], own[1], own[2]};
        seeds += (i > 0 ? ", " : "") + name_of(i) + "@" + addresses_[i].peers;
    }
    for (std::size_t i = 0; i < instance_count; ++i) {
        std::ofstream{folder_ + "/" + name_of(i) + ".ini"}
            << "[instance]\nname = " << name_of(i) << "\ndata_centre = d\ndeployment = test\n"
            << "[listen]\ncallers = " << addresses_[i].callers
            << "\npeers = " << addresses_[i].peers << "\noperators = " << addresses_[i].operators
            << "\n[store]\naddress = 127.0.0.1:" << store_->port() << "\n[peers]\nseeds = " << seeds
            << "\n[threads]\ntraffic = 2\n[log]\nlevel = error\n";
    }
}

runtime::call_result test_tier::call(const std::string& address,
                                     const runtime::http_request& request, milliseconds limit) {
    constexpr std::size_t max_connections = 32;
    runtime::call_result result;
    client_thread_->run([&] {
        result = client_->call(address, request, std::chrono::steady_clock::now() + limit,
                               max_connections);
    });
    return result;
}

test_answer test_tier::send(std::size_t instance, const test_action& action) {
    constexpr auto answer_limit = seconds{3};
    const auto body =
        boost::json::serialize(boost::json::object{{"searcher", action.searcher},
                                                   {"service", "billing"},
                                                   {"shard", "0"},
                                                   {"request_key", action.key},
                                                   {"body", action.body},
                                                   {"deadline_ms", action.deadline.count()}});
    return decode_answer(call(addresses_[instance].callers, {"POST", "/v1/actions", body},
                              action.deadline + answer_limit));
}

std::future<test_answer> test_tier::send_later(std::size_t instance, const test_action& action) {
    return std::async(std::launch::async,
                      [this, instance, action] { return send(instance, action); });
}

boost::json::object test_tier::state(std::size_t instance) {
    const auto result = call(addresses_[instance].operators, {"GET", "/state"}, seconds{2});
    return result.status == runtime::call_status::answered
               ? boost::json::parse(result.response.body).as_object()
               : boost::json::object{};
}

std::string test_tier::status_at(std::size_t instance, std::size_t other) {
    const auto known = state(instance);
    if (!known.contains("tier")) {
        return "";
    }
    const auto& instances = known.at("tier").at("instances").as_object();
    const auto* found = instances.if_contains(name_of(other));
    return found == nullptr ? "" : text_of(found->as_object(), "status");
}

void test_tier::store_fault(const std::string& body) {
    const auto address = "127.0.0.1:" + std::to_string(store_->port());
    const auto result = call(address, {"POST", "/fault", body}, seconds{2});
    REQUIRE(result.response.status == 200);
}

std::uint64_t test_tier::executions(const std::string& key) const {
    const auto counters = backend_->counters();
    const auto found = counters.actions_executed.find(key);
    return found == counters.actions_executed.end() ? 0 : found->second;
}

std::string test_tier::key_with_home(std::size_t instance, const std::string& searcher) {
    std::vector<model::instance_id> instances;
    for (std::size_t i = 0; i < instance_count; ++i) {
        instances.push_back(model::instance_id::trusted(name_of(i)));
    }
    const auto issued = std::chrono::duration_cast<milliseconds>(
        std::chrono::system_clock::now().time_since_epoch());
    while (true) {
        const auto text = std::to_string(issued.count()) + "-" + std::to_string(++last_key_);
        const auto key = at_most_once::request_key::create(text);
        REQUIRE(key);
        const auto bucket = at_most_once::bucket_of(
            at_most_once::claim_key_of(model::searcher_id::trusted(searcher), key.value()),
            at_most_once::claim_policy{}.buckets);
        if (at_most_once::home_of(bucket, instances) == instances[instance]) {
            return text;
        }
    }
}

}  // namespace poplarfront::daemon
