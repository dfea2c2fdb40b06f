#include "model/search.h"

#include <algorithm>

namespace poplarfront::model {

std::string_view to_string(missing_reason reason) {
    switch (reason) {
        case missing_reason::none:
            return "none";
        case missing_reason::no_replica:
            return "no_replica";
        case missing_reason::timed_out:
            return "timed_out";
        case missing_reason::shed:
            return "shed";
        case missing_reason::version_unavailable:
            return "version_unavailable";
        case missing_reason::map_changed:
            return "map_changed";
        case missing_reason::connection_lost:
            return "connection_lost";
        case missing_reason::quarantined:
            return "quarantined";
        case missing_reason::owner_lost:
            return "owner_lost";
        case missing_reason::refused:
            return "refused";
    }
    return "unknown";
}

bool search_answer::complete() const {
    return std::all_of(shards.begin(), shards.end(),
                       [](const auto& it) { return it.reason == missing_reason::none; });
}

}  // namespace poplarfront::model
