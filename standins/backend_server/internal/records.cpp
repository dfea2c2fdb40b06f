#include "backend_server/records.h"

#include <algorithm>
#include <charconv>

namespace poplarfront::standins {
namespace {

constexpr std::string_view key_prefix = "key:";
constexpr std::string_view version_prefix = "version=";

std::string body_of(const model::shard_ref& shard, model::index_version version) {
    return std::string{version_prefix} + std::to_string(version.value) +
           " shard=" + shard.service.text() + ":" + shard.shard.text();
}

}  // namespace

model::shard_id owning_shard(const std::vector<model::shard_id>& shards, std::string_view key) {
    const auto weight = [key](const model::shard_id& shard) {
        return model::stable_hash(key, model::stable_hash(shard.text()));
    };
    return *std::max_element(shards.begin(), shards.end(),
                             [&](const auto& a, const auto& b) { return weight(a) < weight(b); });
}

std::vector<model::record> matching_records(const shard_layout& layout,
                                            const model::shard_ref& shard,
                                            model::index_version version, std::string_view query) {
    const auto word = query.substr(0, query.find(' '));
    if (word == "all") {
        return {{shard.service.text() + ":" + shard.shard.text(), body_of(shard, version)}};
    }
    if (!word.starts_with(key_prefix)) {
        return {};
    }
    const auto key = word.substr(key_prefix.size());
    const auto cut = layout.cut.find(shard.service);
    if (cut == layout.cut.end() || owning_shard(cut->second, key) != shard.shard) {
        return {};
    }
    return {{std::string{key}, body_of(shard, version)}};
}

std::optional<model::index_version> stated_version(std::string_view body) {
    if (!body.starts_with(version_prefix)) {
        return std::nullopt;
    }
    body.remove_prefix(version_prefix.size());
    model::index_version version;
    const auto parsed = std::from_chars(body.data(), body.data() + body.size(), version.value);
    if (parsed.ec != std::errc{}) {
        return std::nullopt;
    }
    return version;
}

}  // namespace poplarfront::standins
