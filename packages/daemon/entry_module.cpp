#include <algorithm>
#include <chrono>
#include <memory>
#include <thread>
#include <vector>

#include "kernel/module_registration.h"
#include "runtime/http_server.h"
#include "runtime/route_table.h"
#include "runtime/thread_set.h"

namespace poplarfront::daemon {
namespace {

/// Listens for callers on every traffic thread. It starts last and stops first, so that requests in
/// flight find all that they need.
class entry_module {
public:
    static kernel::module_descriptor descriptor() {
        constexpr std::int64_t max_connections = 100'000;
        constexpr std::int64_t max_drain_ms = 600'000;
        return {"entry",
                {"runtime", "caller", "actions"},
                {{"listen", "callers", kernel::setting_kind::address, 0, 0, std::nullopt,
                  "IP:PORT for callers"},
                 {"listen", "max_connections", kernel::setting_kind::integer, 1, max_connections,
                  "1024", "caller connections for each traffic thread"},
                 {"listen", "drain_ms", kernel::setting_kind::integer, 0, max_drain_ms, "60000",
                  "longest time that a stop takes for callers, stop_delay_ms included, in ms"},
                 {"listen", "stop_delay_ms", kernel::setting_kind::integer, 0, max_drain_ms, "5000",
                  "how long a stop goes on serving new requests, in ms; the load balancer must "
                  "notice the failing health check in this time"}},
                {"search"}};
    }

    static kernel::result<std::shared_ptr<entry_module>> create(kernel::module_context& context) {
        auto module = std::make_shared<entry_module>();
        const auto& settings = context.process_settings();
        module->threads_ = context.require<runtime::thread_set>();
        module->routes_ = context.require<runtime::caller_routes>();
        module->options_.address = settings.text("listen", "callers");
        module->options_.max_connections =
            static_cast<std::size_t>(settings.integer("listen", "max_connections"));
        module->drain_ = std::chrono::milliseconds{settings.integer("listen", "drain_ms")};
        module->delay_ =
            std::min(module->drain_, kernel::duration{std::chrono::milliseconds{
                                         settings.integer("listen", "stop_delay_ms")}});
        return module;
    }

    kernel::result<void> start() {
        return boost::leaf::try_handle_some(
            [&] { return listen(); },
            [](const runtime::listen_error& error) -> kernel::result<void> {
                return boost::leaf::new_error(
                    kernel::module_error{"entry", error.address + ": " + error.message});
            });
    }

    /// Serves on until the load balancer has noticed the stop, because a connection that is refused
    /// earlier is a lost request. Then answers what is in flight.
    void stop() {
        const auto end = std::chrono::steady_clock::now() + drain_;
        if (!servers_.empty()) {
            std::this_thread::sleep_for(delay_);
        }
        for (const auto& server : servers_) {
            server->stop(
                std::max(end - std::chrono::steady_clock::now(), kernel::duration::zero()));
        }
    }

private:
    kernel::result<void> listen() {
        for (std::size_t i = 0; i < threads_->traffic.size(); ++i) {
            auto handler = [routes = routes_, i](const runtime::http_request& request) {
                return routes->dispatch(i, request);
            };
            BOOST_LEAF_AUTO(server, runtime::http_server::create(threads_->traffic[i], options_,
                                                                 std::move(handler)));
            servers_.push_back(std::move(server));
        }
        return {};
    }

    std::shared_ptr<runtime::thread_set> threads_;
    std::shared_ptr<runtime::caller_routes> routes_;
    runtime::http_server_options options_;
    kernel::duration drain_{0};
    kernel::duration delay_{0};
    std::vector<std::unique_ptr<runtime::http_server>> servers_;
};

const kernel::module_registration<entry_module> registration;

}  // namespace
}  // namespace poplarfront::daemon
