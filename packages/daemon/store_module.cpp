#include <memory>

#include "kernel/module_registration.h"
#include "kernel/state_registry.h"
#include "runtime/http_client.h"
#include "runtime/thread_set.h"
#include "store/http_store_client.h"

namespace poplarfront::daemon {
namespace {

/// Provides the store client of the control thread.
class store_module {
public:
    static kernel::module_descriptor descriptor() {
        return {"store",
                {"runtime"},
                {{"store", "address", kernel::setting_kind::address, 0, 0, std::nullopt,
                  "IP:PORT of the platform's store"}},
                {"search"}};
    }

    static kernel::result<std::shared_ptr<store_module>> create(kernel::module_context& context) {
        const auto threads = context.require<runtime::thread_set>();
        store::http_store_options options;
        options.address = context.process_settings().text("store", "address");
        auto client = store::http_store_client::create(
            runtime::http_client::create(threads->control), options);
        context.provide(client);
        context.require<kernel::state_registry>()->add(
            "store", [client] { return store::to_json(client->counters()); });
        return std::make_shared<store_module>();
    }

    kernel::result<void> start() { return {}; }
    void stop() {}
};

const kernel::module_registration<store_module> registration;

}  // namespace
}  // namespace poplarfront::daemon
