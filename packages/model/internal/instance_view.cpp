#include "model/instance_view.h"

namespace poplarfront::model {

std::string_view to_string(instance_status status) {
    switch (status) {
        case instance_status::alive:
            return "alive";
        case instance_status::suspect:
            return "suspect";
        case instance_status::leaving:
            return "leaving";
        case instance_status::failed:
            return "failed";
    }
    return "unknown";
}

const instance_info* instance_view::find(const instance_id& id) const {
    const auto it = instances.find(id);
    return it == instances.end() ? nullptr : &it->second;
}

std::vector<instance_id> instance_view::working_instances() const {
    std::vector<instance_id> ids;
    for (const auto& [id, info] : instances) {
        if (info.status == instance_status::alive || info.status == instance_status::suspect) {
            ids.push_back(id);
        }
    }
    return ids;
}

}  // namespace poplarfront::model
