#include "gateway/reader_choice.h"

#include <algorithm>
#include <iterator>

#include "model/identifier.h"

namespace poplarfront::gateway {

std::vector<registered_instance> readers_of(const std::string& data_centre,
                                            const std::vector<registered_instance>& instances,
                                            std::size_t count) {
    std::vector<registered_instance> local;
    std::copy_if(instances.begin(), instances.end(), std::back_inserter(local),
                 [&](const auto& it) { return it.data_centre == data_centre; });
    // A hash of the name spreads the choice over data centres whose names count alike.
    std::sort(local.begin(), local.end(), [](const auto& a, const auto& b) {
        return model::stable_hash(a.name) < model::stable_hash(b.name);
    });
    local.resize(std::min(local.size(), count));
    return local;
}

}  // namespace poplarfront::gateway
