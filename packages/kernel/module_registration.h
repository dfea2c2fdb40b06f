#pragma once

#include <concepts>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "kernel/extension_point.h"
#include "kernel/module_context.h"
#include "kernel/result.h"
#include "kernel/settings.h"

namespace poplarfront::kernel {

/// Why a module could not start.
struct module_error {
    std::string module;
    std::string message;
    friend auto operator<=>(const module_error&, const module_error&) = default;
};

/// What the kernel knows of a module before it creates it.
struct module_descriptor {
    std::string name;
    /// Modules that are created before this one and stopped after it.
    std::vector<std::string> dependencies;
    std::vector<setting_descriptor> settings;
    /// The profiles that load the module; empty: all of them.
    std::vector<std::string> profiles = {};
    /// Modules that are created before this one if the profile loads them.
    std::vector<std::string> optional_dependencies = {};
};

/// A running module, without its type.
struct module_handle {
    std::string name;
    std::function<result<void>()> start;
    /// Called for all modules before the first is stopped.
    std::function<void()> begin_stop;
    std::function<void()> stop;
};

/// A module as the registry keeps it.
struct module_entry {
    module_descriptor descriptor;
    std::function<result<module_handle>(module_context&)> create;
};

/// A plug-in: `create` builds its objects and provides services, `start` begins work, `stop` ends
/// it and returns when nothing of the module runs any more. A module may also have `begin_stop`,
/// which is called for all modules before the first is stopped.
template <class T>
concept module_type = requires(T& module, module_context& context) {
    { T::descriptor() } -> std::same_as<module_descriptor>;
    { T::create(context) } -> std::same_as<result<std::shared_ptr<T>>>;
    { module.start() } -> std::same_as<result<void>>;
    { module.stop() } -> std::same_as<void>;
};

/// Registers a module with the kernel. Each `<name>_module.cpp` holds one static object of it.
template <module_type Module>
class module_registration {
public:
    module_registration() : registration_(module_entry{Module::descriptor(), &create}) {}

private:
    static result<module_handle> create(module_context& context) {
        BOOST_LEAF_AUTO(module, Module::create(context));
        module_handle running;
        running.name = Module::descriptor().name;
        running.start = [module] { return module->start(); };
        running.begin_stop = [module] { announce_stop(*module); };
        running.stop = [module] { module->stop(); };
        return running;
    }

    static void announce_stop(Module& module) {
        if constexpr (requires { module.begin_stop(); }) {
            module.begin_stop();
        }
    }

    extension_point<module_entry>::registration registration_;
};

}  // namespace poplarfront::kernel
