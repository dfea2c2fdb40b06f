#pragma once

#include <functional>
#include <utility>
#include <vector>

#include "kernel/settings.h"

namespace poplarfront::kernel {

/// Passes reloaded settings to the modules that can apply them at run time.
///
/// Thread safety: `add` is called on the main thread before modules start; `apply` on the main
/// thread afterwards.
class reload_handlers {
public:
    using handler = std::function<void(const settings&)>;

    void add(handler handler) { handlers_.push_back(std::move(handler)); }

    void apply(const settings& next) const {
        for (const auto& it : handlers_) {
            it(next);
        }
    }

private:
    std::vector<handler> handlers_;
};

/// Checks that `next` differs from `current` only in reloadable keys.
/// Errors: settings_error that names the first key that differs and is not reloadable.
result<void> check_reload(const settings& current, const settings& next,
                          const std::vector<setting_descriptor>& descriptors);

}  // namespace poplarfront::kernel
