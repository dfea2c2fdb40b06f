#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "kernel/module_registration.h"

namespace poplarfront::kernel {

/// The profile of a process whose settings name none.
inline constexpr std::string_view default_profile = "search";

/// The settings keys of all modules that `profile` loads, and the key that names the profile.
std::vector<setting_descriptor> registered_settings(std::string_view profile);

/// The profiles that modules name, and the default one; in alphabetical order.
std::vector<std::string> profiles();

/// The profile that INI text names.
/// Errors: settings_error for a syntax error or a profile that no module names.
result<std::string> parse_profile(std::string_view file, std::string_view text);

/// Creates, starts and stops the registered modules in the order of their dependencies.
///
/// Thread safety: used on the main thread only.
class lifecycle {
public:
    /// Creates and starts all modules of the settings' profile. If one fails, those that were
    /// started are stopped again. Errors: module_error for a missing or circular dependency, and
    /// what the module returns.
    static result<lifecycle> start(module_context& context);

    /// Stops all modules, the last started first.
    void stop();

private:
    std::vector<module_handle> running_;
};

/// The order in which modules are created: each after its dependencies, else by name.
/// Errors: module_error for a missing or circular dependency.
result<std::vector<module_entry>> creation_order(std::vector<module_entry> modules);

}  // namespace poplarfront::kernel
