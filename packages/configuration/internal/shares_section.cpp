#include "configuration/shares_section.h"

#include <algorithm>
#include <array>

#include "configuration/internal/section_entries.h"

namespace poplarfront::configuration {
namespace {

constexpr std::string_view section_name = "shares";
constexpr std::string_view searcher_prefix = "searcher ";

struct share_key {
    std::string_view name;
    std::uint32_t share::*value;
    std::uint32_t minimum;
    std::uint32_t maximum;
};

constexpr std::array share_keys{
    share_key{"weight", &share::weight, 1, 1'000},
    share_key{"guaranteed_per_s", &share::guaranteed_per_s, 0, 10'000'000},
    share_key{"burst", &share::burst, 1, 1'000'000},
};

/// The part of a key before the first dot.
std::string_view key_name(const kernel::ini_entry& entry) {
    return std::string_view{entry.key}.substr(0, entry.key.find('.'));
}

bool names_service(const kernel::ini_entry& entry) {
    return entry.key.find('.') != std::string::npos;
}

kernel::result<void> apply(const kernel::ini_entry& entry, share& target) {
    const auto key = std::find_if(share_keys.begin(), share_keys.end(),
                                  [&](const auto& it) { return it.name == key_name(entry); });
    if (key == share_keys.end()) {
        return internal::refuse(section_name, entry, "unknown key");
    }
    BOOST_LEAF_ASSIGN(target.*(key->value),
                      internal::parse_integer(section_name, entry, key->minimum, key->maximum));
    return {};
}

kernel::result<model::searcher_id> searcher_of(const kernel::ini_entry& entry) {
    if (!entry.section.starts_with(searcher_prefix)) {
        return internal::refuse(section_name, entry, "unknown section [" + entry.section + "]");
    }
    return internal::parse_identifier<model::searcher_id>(
        section_name, entry, std::string_view{entry.section}.substr(searcher_prefix.size()));
}

}  // namespace

share shares::total(const model::searcher_id& searcher) const {
    const auto it = searchers.find(searcher);
    return it == searchers.end() ? share{} : it->second.total;
}

const share* shares::find_service_share(const model::searcher_id& searcher,
                                        const model::service_id& service) const {
    const auto found = searchers.find(searcher);
    if (found == searchers.end()) {
        return nullptr;
    }
    const auto it = found->second.services.find(service);
    return it == found->second.services.end() ? nullptr : &it->second;
}

kernel::result<shares> parse_shares(std::string_view text) {
    BOOST_LEAF_AUTO(entries, internal::parse_entries(section_name, text));
    shares parsed;
    for (const auto& entry : entries) {
        BOOST_LEAF_AUTO(searcher, searcher_of(entry));
        auto& target = parsed.searchers[searcher];
        if (!names_service(entry)) {
            BOOST_LEAF_CHECK(apply(entry, target.total));
        }
    }
    // Values of a service start from those of the searcher, so these are read in a second pass.
    for (const auto& entry : entries) {
        if (!names_service(entry)) {
            continue;
        }
        BOOST_LEAF_AUTO(searcher, searcher_of(entry));
        BOOST_LEAF_AUTO(service,
                        internal::parse_identifier<model::service_id>(
                            section_name, entry,
                            std::string_view{entry.key}.substr(key_name(entry).size() + 1)));
        auto& target = parsed.searchers[searcher];
        BOOST_LEAF_CHECK(
            apply(entry, target.services.emplace(service, target.total).first->second));
    }
    return parsed;
}

kernel::result<void> check_shares(const shares& shares, const model::shard_map& shards) {
    for (const auto& [searcher, given] : shares.searchers) {
        for (const auto& [service, ignored] : given.services) {
            if (shards.find_service(service) == nullptr) {
                return boost::leaf::new_error(section_error{
                    std::string{section_name}, 0, "",
                    "section shares gives searcher " + searcher.text() + " a share of service " +
                        service.text() + ", which section shards does not have"});
            }
        }
    }
    return {};
}

}  // namespace poplarfront::configuration
