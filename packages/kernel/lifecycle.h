#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "kernel/module_registration.h"

namespace poplarfront::kernel {

/// The profile that is used if the settings do not set one.
inline constexpr std::string_view default_profile = "search";

/// The settings keys of all modules that `profile` loads, and the key that selects the profile.
std::vector<setting_descriptor> registered_settings(std::string_view profile);

/// The default profile and all profiles that registered modules belong to, in alphabetical order.
std::vector<std::string> profiles();

/// The value of `[process] profile` in INI text, or the default profile if the key is absent.
/// Errors: settings_error for a syntax error or an unknown profile.
result<std::string> parse_profile(std::string_view file, std::string_view text);

/// Creates and starts the registered modules in the order of their dependencies, and stops them in
/// reverse order.
///
/// Thread safety: used on the main thread only.
class lifecycle {
public:
    /// Creates and starts all modules of the profile in the settings. If a module fails to start,
    /// those already started are stopped. Errors: module_error for a missing or circular
    /// dependency, and any error that a module returns.
    static result<lifecycle> start(module_context& context);

    /// Stops all modules in the reverse order of their start.
    void stop();

private:
    std::vector<module_handle> started_;
};

/// Sorts modules into the order of their creation: each after its dependencies, and by name where
/// dependencies leave the order open.
/// Errors: module_error for a missing or circular dependency.
result<std::vector<module_entry>> creation_order(std::vector<module_entry> modules);

}  // namespace poplarfront::kernel
