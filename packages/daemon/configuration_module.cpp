#include <fstream>
#include <memory>
#include <sstream>

#include "configuration/shards_section.h"
#include "daemon/active_snapshot.h"
#include "kernel/module_registration.h"

namespace poplarfront::daemon {
namespace {

kernel::result<model::shard_map> load(const std::string& file) {
    std::ifstream in{file};
    std::ostringstream text;
    text << in.rdbuf();
    return configuration::parse_shards(text.str(), {1});
}

/// Provides the configuration in force.
class configuration_module {
public:
    static kernel::module_descriptor descriptor() {
        return {"configuration",
                {"runtime", "instance"},
                {{"configuration", "shards_file", kernel::setting_kind::text, 0, 0, std::nullopt,
                  "file with the shards section"}}};
    }

    static kernel::result<std::shared_ptr<configuration_module>> create(
        kernel::module_context& context) {
        const auto file = context.process_settings().text("configuration", "shards_file");
        return boost::leaf::try_handle_some(
            [&]() -> kernel::result<std::shared_ptr<configuration_module>> {
                BOOST_LEAF_AUTO(map, load(file));
                context.provide(std::make_shared<published_shard_map>(std::move(map)));
                return std::make_shared<configuration_module>();
            },
            [&](const configuration::section_error& error)
                -> kernel::result<std::shared_ptr<configuration_module>> {
                return boost::leaf::new_error(
                    kernel::module_error{"configuration", file + ": " + error.reason});
            });
    }

    kernel::result<void> start() { return {}; }
    void stop() {}
};

const kernel::module_registration<configuration_module> registration;

}  // namespace
}  // namespace poplarfront::daemon
