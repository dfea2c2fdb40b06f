#include "daemon/home_choice.h"

#include <vector>

#include "at_most_once/claim.h"
#include "at_most_once/request_key.h"

namespace poplarfront::daemon {
namespace {

std::vector<model::instance_id> with_status(const model::instance_view& view,
                                            model::instance_status status) {
    std::vector<model::instance_id> found;
    for (const auto& [id, info] : view.instances) {
        if (info.status == status) {
            found.push_back(id);
        }
    }
    return found;
}

}  // namespace

model::instance_id home_for(const model::action_request& action, const model::instance_view& view,
                            const model::instance_id& self) {
    const auto key = at_most_once::request_key::create(action.request_key);
    if (!key) {
        return self;
    }
    const auto bucket =
        at_most_once::bucket_of(at_most_once::claim_key_of(action.searcher, key.value()),
                                at_most_once::claim_policy{}.buckets);
    const auto alive =
        at_most_once::home_of(bucket, with_status(view, model::instance_status::alive));
    if (alive) {
        return *alive;
    }
    return at_most_once::home_of(bucket, with_status(view, model::instance_status::suspect))
        .value_or(self);
}

}  // namespace poplarfront::daemon
