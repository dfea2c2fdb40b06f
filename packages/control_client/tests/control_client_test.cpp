#include <unistd.h>

#include <catch2/catch.hpp>
#include <cstdio>
#include <fstream>
#include <sstream>

#include "control_client/run.h"
#include "runtime/http_server.h"
#include "standins/store/store_standin.h"
#include "wire/configuration_codec.h"

namespace poplarfront::control_client {
namespace {

/// An instance that puts an announced revision into force at once, or never.
class fake_instance {
public:
    fake_instance(std::shared_ptr<runtime::fiber_thread> thread, bool applies_announcements)
        : applies_announcements_(applies_announcements) {
        auto created = runtime::http_server::create(
            std::move(thread), {"127.0.0.1:0"},
            [this](const runtime::http_request& request) { return answer(request); });
        REQUIRE(created);
        server_ = std::move(created.value());
    }
    ~fake_instance() { server_->stop(std::chrono::seconds{1}); }
    fake_instance(const fake_instance&) = delete;
    fake_instance& operator=(const fake_instance&) = delete;

    [[nodiscard]] std::string address() const {
        return "127.0.0.1:" + std::to_string(server_->port());
    }

private:
    runtime::http_response answer(const runtime::http_request& request) {
        if (request.target == "/state") {
            return {200, "{}"};
        }
        if (request.method == "POST" && applies_announcements_) {
            status_.revision =
                wire::decode_announcement(request.body).value().accepted_head.document_revision;
        }
        return {200, wire::encode_status(status_)};
    }

    bool applies_announcements_;
    configuration::configuration_status status_{model::instance_id::trusted("i-1"), {}, {}};
    std::unique_ptr<runtime::http_server> server_;
};

std::string temporary_file() {
    std::string path = "/tmp/control_client_test_XXXXXX";
    const int descriptor = mkstemp(path.data());
    REQUIRE(descriptor >= 0);
    close(descriptor);
    return path;
}

/// Stops a thread in the destructor. It is declared before the servers that use the thread, so that
/// they are destroyed first, because a thread must not be stopped by a fiber of its own.
struct scoped_thread {
    std::shared_ptr<runtime::fiber_thread> thread = runtime::fiber_thread::create("test");
    scoped_thread() = default;
    ~scoped_thread() { thread->stop(); }
    scoped_thread(const scoped_thread&) = delete;
    scoped_thread& operator=(const scoped_thread&) = delete;
};

struct fixture {
    scoped_thread thread_guard;
    std::shared_ptr<runtime::fiber_thread> thread = thread_guard.thread;
    std::unique_ptr<standins::store_standin> store =
        std::move(standins::store_standin::create(thread, {}).value());
    fake_instance up_to_date{thread, true};
    fake_instance lagging{thread, false};
    std::string file = temporary_file();
    std::ostringstream out;
    std::ostringstream err;

    fixture() = default;
    ~fixture() { std::remove(file.c_str()); }
    fixture(const fixture&) = delete;
    fixture& operator=(const fixture&) = delete;

    int run(std::vector<std::string> arguments) {
        out.str("");
        err.str("");
        arguments.insert(arguments.end(), {"--store", "127.0.0.1:" + std::to_string(store->port()),
                                           "--deployment", "d", "--timeout-ms", "1500"});
        return static_cast<int>(control_client::run(arguments, "1", out, err));
    }
    int run_with_text(const std::string& text, std::vector<std::string> arguments) {
        std::ofstream{file} << text;
        arguments.insert(arguments.begin() + 2, file);
        return run(std::move(arguments));
    }
};

TEST_CASE("a write is accepted, read back, diffed and listed; an old revision conflicts") {
    fixture test;
    const std::string text = "[canary]\nwidth = 9\n";
    CHECK(test.run_with_text(text, {"write", "policy", "--expect-revision", "0"}) == 0);
    CHECK(test.out.str().find("has revision 1") != std::string::npos);
    CHECK(test.run({"read", "policy"}) == 0);
    CHECK(test.out.str() == "[canary]\nwidth=9\n");
    CHECK(test.run_with_text("[canary]\nwait_ms = 2\n", {"diff", "policy"}) == 0);
    CHECK(test.out.str() == "set   [canary] wait_ms = 2\nerase [canary] width\n");
    CHECK(test.run({"list"}) == 0);
    CHECK(test.out.str().find("policy revision 1") != std::string::npos);
    CHECK(test.run_with_text("", {"write", "policy", "--expect-revision", "0"}) == 2);
    CHECK(test.run_with_text("[canary]\nwidth = x\n", {"write", "policy"}) == 1);
    CHECK(test.err.str().find("policy:2: width") != std::string::npos);
    CHECK(test.run_with_text("[searcher m]\nweight.lots = 1\n", {"validate", "shares"}) == 1);
    CHECK(test.run_with_text(text, {"validate", "policy"}) == 0);
}

TEST_CASE("waiting ends when all instances have the revision; a timeout names those that lag") {
    fixture test;
    CHECK(test.run_with_text(
              "", {"write", "policy", "--follow", "--instances", test.up_to_date.address()}) == 0);
    CHECK(test.out.str().find("in force: revision 1 on 1 instances") != std::string::npos);
    CHECK(test.run({"status", "policy", "--instances",
                    test.up_to_date.address() + "," + test.lagging.address()}) == 3);
    CHECK(test.err.str() == "lags: " + test.lagging.address() + " i-1 has revision 0\n");
    CHECK(test.run({"state", test.up_to_date.address()}) == 0);
    CHECK(test.run({"state", "127.0.0.1:1"}) == 3);
}

TEST_CASE("if the store is unreachable, a write is refused and a read has an unknown result") {
    fixture test;
    test.store->stop();
    CHECK(test.run_with_text("", {"write", "policy"}) == 1);
    CHECK(test.run({"list"}) == 3);
}

TEST_CASE("an invalid command line gives exit code 64") {
    std::ostringstream out;
    std::ostringstream err;
    const auto code = [&](const std::vector<std::string>& arguments) {
        return static_cast<int>(run(arguments, "1", out, err));
    };
    CHECK(code({}) == 64);
    CHECK(code({"paint"}) == 64);
    CHECK(code({"list"}) == 64);
    CHECK(code({"read", "a", "b", "--store", "x", "--deployment", "d"}) == 64);
    CHECK(code({"--expect-revision", "-1", "list"}) == 64);
    CHECK(code({"validate", "policy", "/nonexistent"}) == 64);
    CHECK(code({"--help"}) == 0);
    CHECK(code({"--version"}) == 0);
    CHECK(out.str().find("poplarctl 1\n") != std::string::npos);
}

}  // namespace
}  // namespace poplarfront::control_client
