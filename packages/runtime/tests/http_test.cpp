#include <sys/resource.h>
#include <sys/socket.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/fiber/operations.hpp>
#include <catch2/catch.hpp>
#include <thread>
#include <vector>

#include "runtime/http_client.h"
#include "runtime/http_server.h"

namespace poplarfront::runtime {
namespace {

using std::chrono::milliseconds;

kernel::time_point in(milliseconds wait) {
    return std::chrono::steady_clock::now() + wait;
}

std::unique_ptr<http_server> start_server(const std::shared_ptr<fiber_thread>& thread,
                                          http_handler handler) {
    http_server_options options;
    options.address = "127.0.0.1:0";
    auto server = http_server::create(thread, options, std::move(handler));
    REQUIRE(server);
    return std::move(server.value());
}

double process_cpu_ms() {
    rusage usage{};
    getrusage(RUSAGE_SELF, &usage);
    const auto ms = [](const timeval& t) {
        return static_cast<double>(t.tv_sec) * 1000.0 + static_cast<double>(t.tv_usec) / 1000.0;
    };
    return ms(usage.ru_utime) + ms(usage.ru_stime);
}

TEST_CASE("successive calls reuse one persistent connection") {
    const auto thread = fiber_thread::create("test");
    const auto server = start_server(thread, [](const http_request& request) {
        return http_response{200, request.body, "7"};
    });
    const auto client = http_client::create(thread);
    const auto address = "127.0.0.1:" + std::to_string(server->port());
    thread->run([&] {
        for (int i = 0; i < 3; ++i) {
            const auto result =
                client->call(address, {"POST", "/x", "hello"}, in(milliseconds{1000}), 1);
            CHECK(result.status == call_status::answered);
            CHECK(result.response.body == "hello");
            CHECK(result.response.etag == "7");
        }
        CHECK(client->counters().connections_opened == 1);
    });
    server->stop(milliseconds{100});
    thread->stop();
}

TEST_CASE("a call to an unreachable server ends as not sent, one to a slow server as timed out") {
    const auto thread = fiber_thread::create("test");
    const auto server = start_server(thread, [](const http_request&) {
        boost::this_fiber::sleep_for(milliseconds{300});
        return http_response{};
    });
    const auto client = http_client::create(thread);
    const auto address = "127.0.0.1:" + std::to_string(server->port());
    thread->run([&] {
        CHECK(client->call("127.0.0.1:1", {"GET", "/"}, in(milliseconds{200}), 1).status ==
              call_status::not_sent);
        CHECK(client->call(address, {"GET", "/"}, in(milliseconds{50}), 1).status ==
              call_status::timed_out);
    });
    server->stop(milliseconds{500});
    thread->stop();
}

TEST_CASE("stopping a server does not interrupt a request in flight") {
    const auto server_thread = fiber_thread::create("server");
    const auto client_thread = fiber_thread::create("client");
    const auto server = start_server(server_thread, [](const http_request&) {
        boost::this_fiber::sleep_for(milliseconds{150});
        return http_response{200, "done"};
    });
    const auto client = http_client::create(client_thread);
    const auto address = "127.0.0.1:" + std::to_string(server->port());
    std::thread stopper{[&] {
        std::this_thread::sleep_for(milliseconds{50});
        server->stop(milliseconds{1000});
    }};
    client_thread->run([&] {
        const auto result = client->call(address, {"GET", "/"}, in(milliseconds{1000}), 1);
        CHECK(result.response.body == "done");
    });
    stopper.join();
    client_thread->stop();
    server_thread->stop();
}

TEST_CASE("waiting threads do not spin") {
    const auto thread = fiber_thread::create("test");
    const auto server = start_server(thread, [](const http_request&) { return http_response{}; });
    const auto before = process_cpu_ms();
    thread->run([] {
        for (int i = 0; i < 10; ++i) {
            boost::this_fiber::sleep_for(milliseconds{100});
        }
    });
    constexpr double max_cpu_ms = 10.0;
    CHECK(process_cpu_ms() - before < max_cpu_ms);
    server->stop(milliseconds{100});
    thread->stop();
}

TEST_CASE("a call to a host that does not accept connections ends long before its deadline") {
    // The listen backlog is full, so that further connection attempts hang as in a network
    // partition. The operating system retries them after 1 s, 3 s, 7 s and 15 s, so that without a
    // connect time-out a client cannot reach the store for up to 15 s after a short partition.
    boost::asio::io_context context;
    using boost::asio::ip::tcp;
    tcp::acceptor full_listener{context};
    full_listener.open(tcp::v4());
    full_listener.bind({boost::asio::ip::address_v4::loopback(), 0});
    full_listener.listen(0);
    std::vector<tcp::socket> pending;
    for (int i = 0; i < 4; ++i) {
        pending.emplace_back(context);
        pending.back().open(tcp::v4());
        pending.back().native_non_blocking(true);
        const auto endpoint = full_listener.local_endpoint();
        // Attempts that fit into the backlog succeed, the others stay pending; either fills it.
        static_cast<void>(::connect(pending.back().native_handle(), endpoint.data(),
                                    static_cast<socklen_t>(endpoint.size())));
    }
    const auto thread = fiber_thread::create("test");
    const auto client = http_client::create(thread);
    const auto address = "127.0.0.1:" + std::to_string(full_listener.local_endpoint().port());
    thread->run([&] {
        const auto started = std::chrono::steady_clock::now();
        CHECK(client->call(address, {"GET", "/"}, in(milliseconds{8000}), 1).status ==
              call_status::not_sent);
        CHECK(std::chrono::steady_clock::now() - started < milliseconds{2500});
    });
    thread->stop();
}

}  // namespace
}  // namespace poplarfront::runtime
