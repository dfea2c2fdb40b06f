#include <getopt.h>
#include <spdlog/spdlog.h>

#include <boost/asio/signal_set.hpp>
#include <charconv>
#include <csignal>
#include <cstdio>
#include <iostream>

#include "standins/store/store_standin.h"

namespace {

using poplarfront::standins::store_standin;
using poplarfront::standins::store_standin_options;

constexpr const char* usage =
    "usage: store_standin --listen IP:PORT [--instance-list-delay-ms N]\n"
    "A stand-in for the platform's key-value store, in memory; for tests only.\n";

constexpr int usage_error = 2;

bool parse_ms(const char* text, poplarfront::kernel::duration& delay) {
    std::uint32_t ms = 0;
    const std::string_view view{text};
    const auto [end, ec] = std::from_chars(view.data(), view.data() + view.size(), ms);
    delay = std::chrono::milliseconds{ms};
    return ec == std::errc{} && end == view.data() + view.size();
}

int serve(const store_standin_options& options) {
    const auto thread = poplarfront::runtime::fiber_thread::create("store");
    auto standin = poplarfront::kernel::handle<poplarfront::runtime::listen_error>(
        [&] { return store_standin::create(thread, options); },
        [](const auto& error) -> std::unique_ptr<store_standin> {
            spdlog::error("cannot listen on {}: {}", error.address, error.message);
            return nullptr;
        });
    if (standin == nullptr) {
        thread->stop();
        return 1;
    }
    spdlog::info("store stand-in listens on port {}", standin->port());
    boost::asio::io_context context;
    boost::asio::signal_set signals{context, SIGINT, SIGTERM};
    signals.async_wait([](const auto&, int) {});
    context.run();
    standin->stop();
    thread->stop();
    return 0;
}

}  // namespace

int main(int argc, char** argv) {
    constexpr option options[] = {{"listen", required_argument, nullptr, 'l'},
                                  {"instance-list-delay-ms", required_argument, nullptr, 'd'},
                                  {"help", no_argument, nullptr, 'h'},
                                  {nullptr, 0, nullptr, 0}};
    store_standin_options chosen;
    chosen.address.clear();
    for (int c = 0; (c = getopt_long(argc, argv, "", options, nullptr)) != -1;) {
        if (c == 'h') {
            std::cout << usage;
            return 0;
        }
        if (c == 'l') {
            chosen.address = optarg;
        } else if (c != 'd' || !parse_ms(optarg, chosen.instance_list_delay)) {
            std::cerr << usage;
            return usage_error;
        }
    }
    if (chosen.address.empty()) {
        std::cerr << usage;
        return usage_error;
    }
    return serve(chosen);
}
