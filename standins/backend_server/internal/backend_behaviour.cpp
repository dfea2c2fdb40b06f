#include "backend_server/backend_behaviour.h"

namespace poplarfront::standins {
namespace {

kernel::result<model::shard_ref> parse_shard(const std::string& name) {
    const auto colon = name.find(':');
    if (colon == std::string::npos) {
        return boost::leaf::new_error(
            model::model_error{"\"" + name + "\" is not of the form service:shard"});
    }
    BOOST_LEAF_AUTO(service, model::service_id::create(name.substr(0, colon)));
    BOOST_LEAF_AUTO(shard, model::shard_id::create(name.substr(colon + 1)));
    return model::shard_ref{std::move(service), std::move(shard)};
}

}  // namespace

const shard_layout* backend_behaviour::layout_at(model::revision revision) const {
    const shard_layout* found = nullptr;
    for (const auto& it : layouts) {
        if (it.from <= revision) {
            found = &it;
        }
    }
    return found;
}

kernel::result<shard_layout> make_layout(model::revision from, const std::vector<std::string>& held,
                                         const std::vector<std::string>& all) {
    shard_layout layout{from, {}, {}};
    for (const auto& name : held) {
        BOOST_LEAF_AUTO(shard, parse_shard(name));
        layout.held.insert(std::move(shard));
    }
    for (const auto& name : all.empty() ? held : all) {
        BOOST_LEAF_AUTO(shard, parse_shard(name));
        layout.cut[shard.service].push_back(shard.shard);
    }
    return layout;
}

}  // namespace poplarfront::standins
