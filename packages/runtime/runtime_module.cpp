#include <memory>
#include <string>

#include "kernel/module_registration.h"
#include "kernel/readiness.h"
#include "kernel/reload.h"
#include "kernel/state_registry.h"
#include "metrics/exposition.h"
#include "runtime/route_table.h"
#include "runtime/thread_set.h"

namespace poplarfront::runtime {
namespace {

/// Provides the threads, the route tables and the registries for state, readiness, metrics and
/// reload handlers.
class runtime_module {
public:
    static kernel::module_descriptor descriptor() {
        constexpr std::int64_t max_threads = 64;
        return {"runtime",
                {},
                {{"threads", "traffic", kernel::setting_kind::integer, 1, max_threads, "1",
                  "threads that serve traffic"}}};
    }

    static kernel::result<std::shared_ptr<runtime_module>> create(kernel::module_context& context) {
        auto threads = std::make_shared<thread_set>();
        threads->control = fiber_thread::create("control");
        const auto n = context.process_settings().integer("threads", "traffic");
        for (std::int64_t i = 0; i < n; ++i) {
            threads->traffic.push_back(fiber_thread::create("traffic-" + std::to_string(i)));
        }
        context.provide(threads);
        context.provide(std::make_shared<kernel::state_registry>());
        context.provide(std::make_shared<kernel::readiness>());
        context.provide(std::make_shared<metrics::metrics_registry>());
        context.provide(std::make_shared<kernel::reload_handlers>());
        context.provide(std::make_shared<caller_routes>());
        context.provide(std::make_shared<operator_routes>());
        auto module = std::make_shared<runtime_module>();
        module->threads_ = std::move(threads);
        return module;
    }

    kernel::result<void> start() { return {}; }

    void stop() {
        for (const auto& thread : threads_->traffic) {
            thread->stop();
        }
        threads_->control->stop();
    }

private:
    std::shared_ptr<thread_set> threads_;
};

const kernel::module_registration<runtime_module> registration;

}  // namespace
}  // namespace poplarfront::runtime
