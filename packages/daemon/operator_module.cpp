#include <atomic>
#include <memory>

#include "daemon/instance_identity.h"
#include "kernel/module_registration.h"
#include "kernel/readiness.h"
#include "kernel/state_registry.h"
#include "metrics/exposition.h"
#include "runtime/http_server.h"
#include "runtime/route_table.h"
#include "runtime/thread_set.h"

namespace poplarfront::daemon {
namespace {

constexpr unsigned service_unavailable = 503;

/// Serves the operator address on the control thread: health, state dump, and the routes that
/// other modules add. It starts after the peer link, whose part of the dump needs its endpoint.
class operator_module {
public:
    static kernel::module_descriptor descriptor() {
        return {"operator",
                {"runtime", "instance"},
                {},
                {},
                {"tier_state", "peers", "gateway", "fleet"}};
    }

    static kernel::result<std::shared_ptr<operator_module>> create(
        kernel::module_context& context) {
        auto module = std::make_shared<operator_module>();
        module->threads_ = context.require<runtime::thread_set>();
        module->identity_ = context.require<const instance_identity>();
        module->routes_ = context.require<runtime::operator_routes>();
        module->routes_->add(
            "GET", "/state",
            [state = context.require<kernel::state_registry>()](const runtime::http_request&) {
                return runtime::http_response{200, state->dump()};
            });
        module->routes_->add(
            "GET", "/metrics",
            [metrics = context.require<metrics::metrics_registry>()](const runtime::http_request&) {
                return runtime::http_response{200, metrics->page(), "",
                                              "text/plain; version=0.0.4"};
            });
        module->routes_->add(
            "GET", "/healthz",
            [stopping = module->stopping_,
             readiness = context.require<kernel::readiness>()](const runtime::http_request&) {
                if (*stopping || !readiness->ready()) {
                    return runtime::http_response{service_unavailable, R"({"status":"leaving"})"};
                }
                return runtime::http_response{200, R"({"status":"serving"})"};
            });
        return module;
    }

    kernel::result<void> start() {
        runtime::http_server_options options;
        options.address = identity_->operator_address;
        return boost::leaf::try_handle_some(
            [&]() -> kernel::result<void> {
                BOOST_LEAF_ASSIGN(server_,
                                  runtime::http_server::create(
                                      threads_->control, options,
                                      [routes = routes_](const runtime::http_request& request) {
                                          return routes->dispatch(request);
                                      }));
                return {};
            },
            [](const runtime::listen_error& error) -> kernel::result<void> {
                return boost::leaf::new_error(
                    kernel::module_error{"operator", error.address + ": " + error.message});
            });
    }

    void begin_stop() { *stopping_ = true; }

    void stop() { server_->stop(std::chrono::seconds{1}); }

private:
    std::shared_ptr<runtime::thread_set> threads_;
    std::shared_ptr<const instance_identity> identity_;
    std::shared_ptr<runtime::operator_routes> routes_;
    std::shared_ptr<std::atomic<bool>> stopping_ = std::make_shared<std::atomic<bool>>(false);
    std::unique_ptr<runtime::http_server> server_;
};

const kernel::module_registration<operator_module> registration;

}  // namespace
}  // namespace poplarfront::daemon
