#include "runtime/peer_endpoint.h"

#include <catch2/catch.hpp>
#include <chrono>

#include "runtime/mailbox.h"

namespace poplarfront::runtime {
namespace {

using std::chrono::milliseconds;

TEST_CASE("messages reach a peer that starts later; a thread can stop after its endpoints") {
    const auto thread = fiber_thread::create("test");
    const auto ignore = [](const std::string&) {};
    auto sender = peer_endpoint::create(thread, "127.0.0.1:29411", ignore);
    REQUIRE(sender);
    sender.value()->send("127.0.0.1:29412", "first");

    mailbox<std::string> received;
    auto receiver = peer_endpoint::create(thread, "127.0.0.1:29412",
                                          [&](std::string bytes) { received.push(bytes); });
    REQUIRE(receiver);
    sender.value()->send("127.0.0.1:29412", "second");
    thread->run([&] {
        const auto deadline = std::chrono::steady_clock::now() + milliseconds{3000};
        CHECK(received.pop_until(deadline) == "first");
        CHECK(received.pop_until(deadline) == "second");
    });
    sender.value()->stop();
    receiver.value()->stop();
    thread->stop();
}

TEST_CASE("messages sent after reconnect() arrive, whether or not a connection existed") {
    const auto thread = fiber_thread::create("test");
    mailbox<std::string> received;
    auto sender = peer_endpoint::create(thread, "127.0.0.1:29413", [](const std::string&) {});
    auto receiver = peer_endpoint::create(thread, "127.0.0.1:29414",
                                          [&](std::string bytes) { received.push(bytes); });
    REQUIRE(sender);
    REQUIRE(receiver);
    const auto deadline = std::chrono::steady_clock::now() + milliseconds{3000};
    sender.value()->reconnect("127.0.0.1:29414");
    sender.value()->send("127.0.0.1:29414", "first");
    thread->run([&] { CHECK(received.pop_until(deadline) == "first"); });
    sender.value()->reconnect("127.0.0.1:29414");
    sender.value()->send("127.0.0.1:29414", "second");
    thread->run([&] { CHECK(received.pop_until(deadline) == "second"); });
    sender.value()->stop();
    receiver.value()->stop();
    thread->stop();
}

// Guards against a message that is counted as sent although the receiver refuses it because of its
// size and closes the connection.
TEST_CASE("a message that is too large is counted, and the others arrive") {
    const auto thread = fiber_thread::create("test");
    mailbox<std::string> received;
    auto sender = peer_endpoint::create(thread, "127.0.0.1:29415", [](const std::string&) {});
    auto receiver = peer_endpoint::create(thread, "127.0.0.1:29416",
                                          [&](std::string bytes) { received.push(bytes); });
    REQUIRE(sender);
    REQUIRE(receiver);
    const std::string largest(max_peer_message_bytes, 'x');
    const auto deadline = std::chrono::steady_clock::now() + milliseconds{3000};
    sender.value()->send("127.0.0.1:29416", largest + "x");
    sender.value()->send("127.0.0.1:29416", largest);
    sender.value()->send("127.0.0.1:29416", "last");
    thread->run([&] {
        CHECK(received.pop_until(deadline) == largest);
        CHECK(received.pop_until(deadline) == "last");
    });
    CHECK(sender.value()->counters().oversized == 1);
    CHECK(sender.value()->counters().sent == 2);
    sender.value()->stop();
    receiver.value()->stop();
    thread->stop();
}

}  // namespace
}  // namespace poplarfront::runtime
