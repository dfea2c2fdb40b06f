#include "kernel/lifecycle.h"

#include <spdlog/fmt/fmt.h>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <set>

namespace poplarfront::kernel {

std::vector<setting_descriptor> registered_settings() {
    std::vector<setting_descriptor> all;
    for (const auto& module : extension_point<module_entry>::entries()) {
        const auto& keys = module.descriptor.settings;
        all.insert(all.end(), keys.begin(), keys.end());
    }
    return all;
}

result<std::vector<module_entry>> creation_order(std::vector<module_entry> modules) {
    std::sort(modules.begin(), modules.end(),
              [](const auto& a, const auto& b) { return a.descriptor.name < b.descriptor.name; });
    std::vector<module_entry> ordered;
    std::set<std::string> placed;
    while (!modules.empty()) {
        const auto ready = std::find_if(modules.begin(), modules.end(), [&](const auto& it) {
            const auto& needs = it.descriptor.dependencies;
            return std::all_of(needs.begin(), needs.end(),
                               [&](const auto& name) { return placed.contains(name); });
        });
        if (ready == modules.end()) {
            return boost::leaf::new_error(
                module_error{modules.front().descriptor.name,
                             "a dependency is missing or depends on this module"});
        }
        placed.insert(ready->descriptor.name);
        ordered.push_back(std::move(*ready));
        modules.erase(ready);
    }
    return ordered;
}

result<lifecycle> lifecycle::start(module_context& context) {
    BOOST_LEAF_AUTO(ordered, creation_order(extension_point<module_entry>::entries()));
    std::vector<running_module> created;
    for (const auto& module : ordered) {
        BOOST_LEAF_AUTO(running, module.create(context));
        created.push_back(std::move(running));
    }
    lifecycle running;
    for (auto& module : created) {
        if (auto started = module.start(); !started) {
            running.stop();
            return started.error();
        }
        spdlog::debug("module {} started", module.name);
        running.running_.push_back(std::move(module));
    }
    return running;
}

void lifecycle::stop() {
    for (const auto& module : running_) {
        module.begin_stop();
    }
    for (auto module = running_.rbegin(); module != running_.rend(); ++module) {
        spdlog::debug("stopping module {}", module->name);
        module->stop();
    }
    // Handlers of a stopped module may run until the modules it depends on have stopped too.
    while (!running_.empty()) {
        running_.pop_back();
    }
}

}  // namespace poplarfront::kernel
