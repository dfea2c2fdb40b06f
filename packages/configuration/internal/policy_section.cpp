#include "configuration/policy_section.h"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <array>

#include "configuration/internal/section_entries.h"

namespace poplarfront::configuration {
namespace {

constexpr std::string_view section_name = "policy";

struct policy_key {
    std::string_view header;
    std::string_view name;
    std::uint32_t& (*field)(policy&);
    std::uint32_t minimum;
    std::uint32_t maximum;
};

constexpr std::uint32_t max_percent = 100;
constexpr std::uint32_t max_delay_ms = 60'000;
constexpr std::uint32_t max_count = 1'000'000;
constexpr std::uint32_t max_owners = 16;

using uint32_ref = std::uint32_t&;

const std::array policy_keys{
    policy_key{"retry", "steady_percent",
               [](policy& it) -> uint32_ref { return it.retry.steady_percent; }, 0, max_percent},
    policy_key{"retry", "fault_percent",
               [](policy& it) -> uint32_ref { return it.retry.fault_percent; }, 0, max_percent},
    policy_key{"retry", "minimum_delay_ms",
               [](policy& it) -> uint32_ref { return it.retry.minimum_delay_ms; }, 0, max_delay_ms},
    policy_key{"retry", "maximum_delay_ms",
               [](policy& it) -> uint32_ref { return it.retry.maximum_delay_ms; }, 1, max_delay_ms},
    policy_key{"admission", "max_in_flight",
               [](policy& it) -> uint32_ref { return it.admission.max_in_flight; }, 1, max_count},
    policy_key{"admission", "max_queued",
               [](policy& it) -> uint32_ref { return it.admission.max_queued; }, 0, max_count},
    policy_key{"ownership", "group_size",
               [](policy& it) -> uint32_ref { return it.ownership.group_size; }, 1, max_count},
    policy_key{"ownership", "owners_per_group",
               [](policy& it) -> uint32_ref { return it.ownership.owners_per_group; }, 1,
               max_owners},
    policy_key{"canary", "width", [](policy& it) -> uint32_ref { return it.canary.width; }, 0,
               max_count},
    policy_key{"canary", "wait_ms", [](policy& it) -> uint32_ref { return it.canary.wait_ms; }, 0,
               max_delay_ms},
};

kernel::result<owner_mode> parse_mode(const kernel::ini_entry& entry) {
    if (entry.value == "direct") {
        return owner_mode::direct;
    }
    if (entry.value == "owned") {
        return owner_mode::owned;
    }
    return internal::entry_error(section_name, entry, "must be direct or owned");
}

kernel::result<void> apply(const kernel::ini_entry& entry, policy& target) {
    if (entry.section == "ownership" && entry.key == "mode") {
        BOOST_LEAF_ASSIGN(target.ownership.mode, parse_mode(entry));
        return {};
    }
    const auto key = std::find_if(policy_keys.begin(), policy_keys.end(), [&](const auto& it) {
        return it.header == entry.section && it.name == entry.key;
    });
    if (key == policy_keys.end()) {
        return internal::entry_error(section_name, entry,
                                     "unknown key under [" + entry.section + "]");
    }
    BOOST_LEAF_ASSIGN(key->field(target),
                      internal::parse_integer(section_name, entry, key->minimum, key->maximum));
    return {};
}

auto key_error(std::string_view key, std::string reason) {
    return boost::leaf::new_error(
        section_error{std::string{section_name}, 0, std::string{key}, std::move(reason)});
}

}  // namespace

kernel::result<policy> parse_policy(std::string_view text) {
    BOOST_LEAF_AUTO(entries, internal::parse_entries(section_name, text));
    policy parsed;
    for (const auto& entry : entries) {
        BOOST_LEAF_CHECK(apply(entry, parsed));
    }
    if (parsed.retry.fault_percent < parsed.retry.steady_percent) {
        return key_error("fault_percent", "must not be less than steady_percent");
    }
    if (parsed.retry.maximum_delay_ms < parsed.retry.minimum_delay_ms) {
        return key_error("maximum_delay_ms", "must not be less than minimum_delay_ms");
    }
    return parsed;
}

kernel::result<void> check_policy(const policy& policy, const model::shard_map& shards) {
    if (policy.ownership.mode == owner_mode::direct) {
        return {};
    }
    for (const auto& [id, server] : shards.servers()) {
        if (server.slots < policy.ownership.owners_per_group) {
            return key_error(
                "owners_per_group",
                fmt::format("section policy has {} owners per group, but section shards gives "
                            "backend server {} only {} slots",
                            policy.ownership.owners_per_group, id.text(), server.slots));
        }
    }
    return {};
}

}  // namespace poplarfront::configuration
