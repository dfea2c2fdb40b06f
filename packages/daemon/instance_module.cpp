#include <spdlog/spdlog.h>

#include <chrono>
#include <memory>

#include "daemon/instance_identity.h"
#include "kernel/module_registration.h"
#include "kernel/reload.h"
#include "membership/gossip_message.h"

namespace poplarfront::daemon {
namespace {

std::chrono::milliseconds since_epoch() {
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(now);
}

/// Provides the identity of this instance.
class instance_module {
public:
    static kernel::module_descriptor descriptor() {
        using kernel::setting_kind;
        return {"instance",
                {"runtime"},
                {{"instance", "name", setting_kind::identifier, 0, 0, std::nullopt,
                  "unique name of this instance"},
                 {"instance", "data_centre", setting_kind::identifier, 0, 0, std::nullopt,
                  "data centre it runs in"},
                 {"instance", "deployment", setting_kind::identifier, 0, 0, std::nullopt,
                  "deployment it belongs to"},
                 {"listen", "peers", setting_kind::address, 0, 0, std::nullopt,
                  "IP:PORT for other instances"},
                 {"listen", "operators", setting_kind::address, 0, 0, std::nullopt,
                  "IP:PORT for operators"},
                 {"log", "level", setting_kind::identifier, 0, 0, "info",
                  "trace, debug, info, warning, error or off", true}}};
    }

    static kernel::result<std::shared_ptr<instance_module>> create(
        kernel::module_context& context) {
        const auto& settings = context.process_settings();
        context.provide(std::make_shared<const instance_identity>(instance_identity{
            model::deployment_id::trusted(settings.text("instance", "deployment")),
            model::instance_id::trusted(settings.text("instance", "name")),
            model::data_centre_id::trusted(settings.text("instance", "data_centre")),
            membership::first_incarnation(since_epoch()), settings.text("listen", "peers"),
            settings.text("listen", "operators")}));
        context.require<kernel::reload_handlers>()->add([](const kernel::settings& next) {
            spdlog::set_level(spdlog::level::from_str(next.text("log", "level")));
        });
        return std::make_shared<instance_module>();
    }

    kernel::result<void> start() { return {}; }
    void stop() {}
};

const kernel::module_registration<instance_module> registration;

}  // namespace
}  // namespace poplarfront::daemon
