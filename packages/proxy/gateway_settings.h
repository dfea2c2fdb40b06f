#pragma once

#include <vector>

#include "gateway/session_options.h"
#include "kernel/settings.h"
#include "proxy/backend_pool_options.h"
#include "proxy/front_server_options.h"

namespace poplarfront::proxy {

/// Describes the keys of the section `gateway`.
std::vector<kernel::setting_descriptor> gateway_settings();

/// Precondition for both: the settings were validated against gateway_settings() and, for
/// session_options_from(), contain the key `data_centre` of the section `instance`. Thread-safe.
gateway::session_options session_options_from(const kernel::settings& settings);
front_server_options front_server_options_from(const kernel::settings& settings);

/// The options of the pool of each of `thread_count` traffic threads, which share the memory of the
/// process. Preconditions: as above; `thread_count` is not 0. Thread-safe.
backend_pool_options backend_pool_options_from(const kernel::settings& settings,
                                               std::size_t thread_count);

}  // namespace poplarfront::proxy
