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

/// The static description of a module, available before the module is created.
struct module_descriptor {
    std::string name;
    /// Modules that are created before this one and stopped after it.
    std::vector<std::string> dependencies;
    std::vector<setting_descriptor> settings;
    /// The profiles that load the module; empty for all profiles.
    std::vector<std::string> profiles = {};
    /// Modules that are created before this one if the profile loads them.
    std::vector<std::string> optional_dependencies = {};
};

/// A type-erased handle to a module that has been created.
struct module_handle {
    std::string name;
    std::function<result<void>()> start;
    /// Called for all modules before the first one is stopped.
    std::function<void()> begin_stop;
    std::function<void()> stop;
};

/// A registered module: its description and the function that creates it.
struct module_entry {
    module_descriptor descriptor;
    std::function<result<module_handle>(module_context&)> create;
};

/// A plug-in: `create` builds its objects and provides services, `start` begins its work, and
/// `stop` ends it. Handlers that the module has registered with its dependencies may still run
/// until those have stopped too. A module may also have `begin_stop`, which is called for all
/// modules before the first one is stopped.
template <class T>
concept module_type = requires(T& module, module_context& context) {
    { T::descriptor() } -> std::same_as<module_descriptor>;
    { T::create(context) } -> std::same_as<result<std::shared_ptr<T>>>;
    { module.start() } -> std::same_as<result<void>>;
    { module.stop() } -> std::same_as<void>;
};

/// Registers a module with the kernel. Each `<name>_module.cpp` defines one static object of this
/// type.
template <module_type Module>
class module_registration {
public:
    module_registration() : registration_(module_entry{Module::descriptor(), &create}) {}

private:
    static result<module_handle> create(module_context& context) {
        BOOST_LEAF_AUTO(module, Module::create(context));
        module_handle handle;
        handle.name = Module::descriptor().name;
        handle.start = [module] { return module->start(); };
        handle.begin_stop = [module] { call_begin_stop(*module); };
        handle.stop = [module] { module->stop(); };
        return handle;
    }

    static void call_begin_stop(Module& module) {
        if constexpr (requires { module.begin_stop(); }) {
            module.begin_stop();
        }
    }

    extension_point<module_entry>::registration registration_;
};

}  // namespace poplarfront::kernel
