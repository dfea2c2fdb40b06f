#include "gateway/reader_choice.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

#include "model/identifier.h"

namespace poplarfront::gateway {

std::vector<registered_instance> readers_of(const std::string& data_centre,
                                            const std::vector<registered_instance>& instances,
                                            std::size_t count) {
    std::vector<registered_instance> local;
    std::copy_if(instances.begin(), instances.end(), std::back_inserter(local),
                 [&](const auto& it) { return it.data_centre == data_centre; });
    // Large instances send the news to all others sooner. A hash of the name spreads the choice
    // over data centres whose names count alike.
    std::sort(local.begin(), local.end(), [](const auto& a, const auto& b) {
        if (a.capacity != b.capacity) {
            return a.capacity > b.capacity;
        }
        return model::stable_hash(a.name) < model::stable_hash(b.name);
    });
    local.resize(std::min(local.size(), count));
    return local;
}

std::vector<registered_instance> other_readers(const std::string& own_name,
                                               const std::vector<registered_instance>& instances,
                                               std::size_t count) {
    std::set<std::string> data_centres;
    for (const auto& it : instances) {
        data_centres.insert(it.data_centre);
    }
    std::vector<registered_instance> all;
    for (const auto& data_centre : data_centres) {
        for (auto& it : readers_of(data_centre, instances, count)) {
            if (it.name != own_name) {
                all.push_back(std::move(it));
            }
        }
    }
    return all;
}

}  // namespace poplarfront::gateway
