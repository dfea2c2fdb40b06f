#include "kernel/reload.h"

#include <algorithm>

namespace poplarfront::kernel {

result<void> check_reload(const settings& current, const settings& next,
                          const std::vector<setting_descriptor>& descriptors) {
    const auto changed = next.differences(current);
    for (const auto& it : descriptors) {
        const auto name = setting_name(it.section, it.key);
        if (!it.reloadable && std::find(changed.begin(), changed.end(), name) != changed.end()) {
            return boost::leaf::new_error(settings_error{name + " changes only with a restart"});
        }
    }
    return {};
}

}  // namespace poplarfront::kernel
