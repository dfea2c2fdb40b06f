#include "kernel/lifecycle.h"

#include <spdlog/fmt/fmt.h>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <set>

namespace poplarfront::kernel {
namespace {

bool is_loaded_by(std::string_view profile, const module_descriptor& descriptor) {
    const auto& names = descriptor.profiles;
    return names.empty() || std::find(names.begin(), names.end(), profile) != names.end();
}

std::vector<module_entry> modules_of(std::string_view profile) {
    std::vector<module_entry> loaded;
    for (const auto& module : extension_point<module_entry>::entries()) {
        if (is_loaded_by(profile, module.descriptor)) {
            loaded.push_back(module);
        }
    }
    return loaded;
}

}  // namespace

std::vector<setting_descriptor> registered_settings(std::string_view profile) {
    std::vector<setting_descriptor> all{{"process", "profile", setting_kind::identifier, 0, 0,
                                         std::string{default_profile},
                                         "the set of modules that the process loads"}};
    for (const auto& module : modules_of(profile)) {
        const auto& keys = module.descriptor.settings;
        all.insert(all.end(), keys.begin(), keys.end());
    }
    return all;
}

std::vector<std::string> profiles() {
    std::set<std::string> names{std::string{default_profile}};
    for (const auto& module : extension_point<module_entry>::entries()) {
        names.insert(module.descriptor.profiles.begin(), module.descriptor.profiles.end());
    }
    return {names.begin(), names.end()};
}

result<std::string> parse_profile(std::string_view file, std::string_view text) {
    BOOST_LEAF_AUTO(entries, parse_ini(file, text));
    for (const auto& it : entries) {
        if (it.section != "process" || it.key != "profile") {
            continue;
        }
        const auto known_profiles = profiles();
        if (std::find(known_profiles.begin(), known_profiles.end(), it.value) ==
            known_profiles.end()) {
            return boost::leaf::new_error(settings_error{
                fmt::format("{}:{}: [process] profile: \"{}\" is not a known profile", file,
                            it.line, it.value)});
        }
        return it.value;
    }
    return std::string{default_profile};
}

result<std::vector<module_entry>> creation_order(std::vector<module_entry> modules) {
    std::sort(modules.begin(), modules.end(),
              [](const auto& a, const auto& b) { return a.descriptor.name < b.descriptor.name; });
    std::vector<module_entry> ordered;
    std::set<std::string> ordered_names;
    const auto is_pending = [&](const std::string& name) {
        return std::any_of(modules.begin(), modules.end(),
                           [&](const auto& it) { return it.descriptor.name == name; });
    };
    while (!modules.empty()) {
        const auto ready = std::find_if(modules.begin(), modules.end(), [&](const auto& it) {
            const auto& dependencies = it.descriptor.dependencies;
            const auto& optional_dependencies = it.descriptor.optional_dependencies;
            return std::all_of(dependencies.begin(), dependencies.end(),
                               [&](const auto& name) { return ordered_names.contains(name); }) &&
                   std::none_of(optional_dependencies.begin(), optional_dependencies.end(),
                                [&](const auto& name) { return is_pending(name); });
        });
        if (ready == modules.end()) {
            return boost::leaf::new_error(
                module_error{modules.front().descriptor.name,
                             "a direct or indirect dependency is missing or circular"});
        }
        ordered_names.insert(ready->descriptor.name);
        ordered.push_back(std::move(*ready));
        modules.erase(ready);
    }
    return ordered;
}

result<lifecycle> lifecycle::start(module_context& context) {
    BOOST_LEAF_AUTO(
        ordered, creation_order(modules_of(context.process_settings().text("process", "profile"))));
    std::vector<module_handle> created;
    for (const auto& module : ordered) {
        BOOST_LEAF_AUTO(handle, module.create(context));
        created.push_back(std::move(handle));
    }
    lifecycle running;
    for (auto& module : created) {
        if (auto started = module.start(); !started) {
            running.stop();
            return started.error();
        }
        spdlog::debug("module {} started", module.name);
        running.started_.push_back(std::move(module));
    }
    return running;
}

void lifecycle::stop() {
    for (const auto& module : started_) {
        module.begin_stop();
    }
    for (auto module = started_.rbegin(); module != started_.rend(); ++module) {
        spdlog::debug("stopping module {}", module->name);
        module->stop();
    }
    // Handlers of a stopped module may run until the modules it depends on have stopped too, so no
    // module is destroyed before all are stopped.
    while (!started_.empty()) {
        started_.pop_back();
    }
}

}  // namespace poplarfront::kernel
