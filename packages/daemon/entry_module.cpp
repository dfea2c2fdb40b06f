#include <memory>
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
                  "longest time that a stop waits for requests in flight, in ms"}}};
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

    void stop() {
        for (const auto& server : servers_) {
            server->stop(drain_);
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
    std::vector<std::unique_ptr<runtime::http_server>> servers_;
};

const kernel::module_registration<entry_module> registration;

}  // namespace
}  // namespace poplarfront::daemon
