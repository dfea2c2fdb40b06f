#pragma once

#include <string>
#include <vector>

#include "kernel/module_registration.h"

namespace poplarfront::kernel {

/// The settings keys of all registered modules.
std::vector<setting_descriptor> registered_settings();

/// Creates, starts and stops the registered modules in the order of their dependencies.
///
/// Thread safety: used on the main thread only.
class lifecycle {
public:
    /// Creates and starts all modules. If one fails, those that were started are stopped again.
    /// Errors: module_error for a missing or circular dependency, and what the module returns.
    static result<lifecycle> start(module_context& context);

    /// Stops all modules, the last started first.
    void stop();

private:
    std::vector<running_module> running_;
};

/// The order in which modules are created: each after its dependencies, else by name.
/// Errors: module_error for a missing or circular dependency.
result<std::vector<module_entry>> creation_order(std::vector<module_entry> modules);

}  // namespace poplarfront::kernel
