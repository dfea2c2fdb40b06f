#include "at_most_once/claim.h"

#include <spdlog/fmt/fmt.h>

#include <algorithm>

namespace poplarfront::at_most_once {

const claim_record* claim_bucket::find(const claim_key& key) const {
    const auto found = records.find(key);
    return found == records.end() ? nullptr : &found->second;
}

claim_bucket claim_bucket::with(const std::map<claim_key, claim_record>& changes,
                                wall_time purge_before) const& {
    return claim_bucket{*this}.with(changes, purge_before);
}

claim_bucket claim_bucket::with(const std::map<claim_key, claim_record>& changes,
                                wall_time purge_before) && {
    claim_bucket changed = std::move(*this);
    for (const auto& [key, record] : changes) {
        changed.records.insert_or_assign(key, record);
    }
    std::erase_if(changed.records,
                  [&](const auto& entry) { return entry.second.issued < purge_before; });
    return changed;
}

std::size_t claim_bucket::max_encoded_size() const {
    std::size_t bytes = record_overhead_bytes;
    for (const auto& [key, record] : records) {
        bytes += record_overhead_bytes + record.reply.size();
    }
    return bytes;
}

std::string to_json(const claim_counts& counts) {
    return fmt::format(
        R"({{"claims":{},"reads":{},"writes":{},"conflicts":{},"read_backs":{},"refused":{}}})",
        counts.claims, counts.reads, counts.writes, counts.conflicts, counts.read_backs,
        counts.refused);
}

std::uint32_t bucket_of(const claim_key& key, std::uint32_t buckets) {
    return static_cast<std::uint32_t>((key.key_hash_low ^ key.searcher_hash) % buckets);
}

std::string store_key_of(std::uint32_t bucket) {
    return "claims/" + std::to_string(bucket);
}

std::optional<model::instance_id> home_of(std::uint32_t bucket,
                                          const std::vector<model::instance_id>& instances) {
    const auto seed = model::stable_hash(store_key_of(bucket));
    const auto weight = [&](const model::instance_id& id) {
        return std::pair{model::stable_hash(id.text(), seed), id};
    };
    const auto best = std::ranges::max_element(
        instances, [&](const auto& a, const auto& b) { return weight(a) < weight(b); });
    return best == instances.end() ? std::nullopt : std::optional{*best};
}

}  // namespace poplarfront::at_most_once
