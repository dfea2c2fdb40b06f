#include <boost/asio/connect.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include "processes/tier.h"
#include "runtime/peer_endpoint.h"
#include "wire/envelope.h"

using namespace poplarfront::process_tests;

namespace {

constexpr unsigned bad_request = 400;
constexpr unsigned payload_too_large = 413;

poplarfront::runtime::http_response post(const tier& tier, const std::string& body) {
    return tier.call(tier.caller_address(0), {"POST", "/v1/search", body, ""}, seconds{2}).response;
}

/// Sends bytes to an address and closes the connection.
void send_raw(const std::string& address, const std::string& bytes) {
    const auto colon = address.find(':');
    boost::asio::io_context context;
    boost::asio::ip::tcp::socket socket{context};
    boost::system::error_code ec;
    socket.connect({boost::asio::ip::make_address(address.substr(0, colon)),
                    static_cast<unsigned short>(std::stoi(address.substr(colon + 1)))},
                   ec);
    CHECK(!ec);
    boost::asio::write(socket, boost::asio::buffer(bytes), ec);
}

std::string search_body(const std::string& service, const std::string& deadline) {
    return R"({"searcher":"grower","services":[")" + service + R"("],"query":"all")" + deadline +
           "}";
}

}  // namespace

// Guards against input that ends the process or is answered with an error nobody can read.
TEST_CASE("Bad input gets a readable error and the process serves on", "[input]") {
    constexpr std::size_t too_large = std::size_t{3} * 1024 * 1024;
    tier tier{{.instances = 2, .shards = 1}};
    for (const auto& [body, named] : std::vector<std::pair<std::string, std::string>>{
             {"{", "invalid_request"},
             {search_body("unknown", R"(,"deadline_ms":1000)"), "unknown does not exist"},
             {search_body("records", R"(,"deadline_ms":-5)"), "deadline_ms"},
             {search_body("records", ""), "deadline_ms"}}) {
        const auto response = post(tier, body);
        INFO(body << " -> " << response.body);
        CHECK(response.status == bad_request);
        CHECK(response.body.find(named) != std::string::npos);
        CHECK(response.body.find(R"("not_run":true)") != std::string::npos);
    }
    const auto large =
        tier.call(tier.caller_address(0), {"POST", "/v1/search", std::string(too_large, 'x'), ""},
                  seconds{2});
    // The server answers before it has read all, so the client may see only the closed connection.
    const bool answered = large.status == poplarfront::runtime::call_status::answered;
    CHECK((!answered || large.response.status == payload_too_large));
    send_raw(tier.caller_address(0), "NOT HTTP AT ALL\r\n\r\n");
    send_raw(tier.peer_address(0), std::string(1, '\xff'));
    send_raw(tier.peer_address(0), std::string(512, '\x00'));
    CHECK(tier.search(0, "all").complete);
    CHECK(!tier.instance(0).wait(milliseconds{0}));
}

// Guards against messages of another deployment that change the membership or the configuration.
TEST_CASE("Messages of another deployment and truncated ones are refused and counted", "[input]") {
    using namespace poplarfront;
    constexpr std::size_t unused_instance = 50;
    tier tier{{.instances = 1, .shards = 1}};
    const auto refused = [&] {
        return tier.get(tier.operator_address(0), "/state")
            .at("peers")
            .at("refused")
            .to_number<int>();
    };
    const auto thread = runtime::fiber_thread::create("sender");
    const auto sender = runtime::peer_endpoint::create(thread, tier.peer_address(unused_instance),
                                                       [](const std::string&) {});
    REQUIRE(sender);
    const wire::envelope foreign{model::deployment_id::trusted("another"),
                                 model::instance_id::trusted("stranger"),
                                 {1},
                                 wire::message_kind::membership,
                                 ""};
    const auto bytes = wire::encode_envelope(foreign);
    sender.value()->send(tier.peer_address(0), bytes);
    sender.value()->send(tier.peer_address(0), bytes.substr(0, bytes.size() / 2));
    CHECK(eventually(seconds{5}, [&] { return refused() == 2; }));
    CHECK(tier.search(0, "all").complete);
    sender.value()->stop();
    thread->stop();
}

// Guards against settings errors that do not say where they are.
TEST_CASE("--check-config names file, line, section and key", "[input]") {
    tier tier{{.instances = 0, .shards = 1, .publish = false}};
    const auto file =
        tier.write_file("bad.ini", "[instance]\nname = a\n\n[listen]\npeers = nowhere\n");
    poplarfront::test_support::child_process program{
        {POPLARFRONTD_PROGRAM, "--config", file.string(), "--check-config"},
        file.string() + ".log"};
    CHECK(program.wait(seconds{5}) == 1);
    const auto output = program.output();
    INFO(output);
    for (const auto* part : {"bad.ini", "5", "listen", "peers"}) {
        CHECK(output.find(part) != std::string::npos);
    }
}
