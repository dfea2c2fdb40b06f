#include <boost/json.hpp>
#include <memory>

#include "daemon/entry_gates.h"
#include "kernel/module_registration.h"
#include "kernel/state_registry.h"
#include "runtime/thread_set.h"

namespace poplarfront::daemon {
namespace {

boost::json::object to_json(const entry_gate& gate) {
    return {{"waiting", gate.waiting()},
            {"in_flight", gate.in_flight()},
            {"limit", gate.limit()},
            {"refused", gate.refused()}};
}

/// Provides the admission of callers' requests.
class admission_module {
public:
    static kernel::module_descriptor descriptor() {
        return {"admission", {"runtime"}, {}, {"search"}};
    }

    static kernel::result<std::shared_ptr<admission_module>> create(
        kernel::module_context& context) {
        const auto threads = context.require<runtime::thread_set>();
        const auto gates = std::make_shared<entry_gates>();
        for (std::size_t i = 0; i < threads->traffic.size(); ++i) {
            gates->gates.push_back(std::make_shared<entry_gate>(threads->traffic.size()));
        }
        context.provide(gates);
        context.require<kernel::state_registry>()->add("admission", [threads, gates] {
            boost::json::array parts;
            for (std::size_t i = 0; i < gates->gates.size(); ++i) {
                threads->traffic[i]->run([&] { parts.emplace_back(to_json(*gates->gates[i])); });
            }
            return boost::json::serialize(parts);
        });
        return std::make_shared<admission_module>();
    }

    kernel::result<void> start() { return {}; }
    void stop() {}
};

const kernel::module_registration<admission_module> registration;

}  // namespace
}  // namespace poplarfront::daemon
