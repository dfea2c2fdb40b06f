#include "configuration/shards_section.h"

#include <spdlog/fmt/fmt.h>

#include <map>

#include "configuration/internal/section_entries.h"

namespace poplarfront::configuration {
namespace {

constexpr std::string_view section_name = "shards";
constexpr std::string_view server_prefix = "server ";
constexpr std::string_view service_prefix = "service ";
constexpr std::string_view shard_prefix = "shard.";

auto entry_error(const kernel::ini_entry& entry, std::string reason) {
    return internal::entry_error(section_name, entry, std::move(reason));
}

kernel::result<std::uint32_t> parse_capacity(const kernel::ini_entry& entry) {
    constexpr std::uint32_t max_capacity = 100'000;
    return internal::parse_integer(section_name, entry, 1, max_capacity);
}

/// Converts a model_error into a section_error.
kernel::result<model::shard_map> create_shard_map(model::revision revision,
                                                  std::vector<model::service_info> services,
                                                  std::vector<model::server_info> servers) {
    return boost::leaf::try_handle_some(
        [&] { return model::shard_map::create(revision, std::move(services), std::move(servers)); },
        [](const model::model_error& error) -> kernel::result<model::shard_map> {
            return boost::leaf::new_error(
                section_error{std::string{section_name}, 0, "", error.message});
        });
}

kernel::result<std::vector<model::server_id>> parse_replicas(const kernel::ini_entry& entry) {
    std::vector<model::server_id> ids;
    std::string_view rest = entry.value;
    while (!rest.empty()) {
        const auto end = std::min(rest.find(' '), rest.size());
        if (const auto name = rest.substr(0, end); !name.empty()) {
            if (!model::is_identifier(name)) {
                return entry_error(entry, fmt::format("\"{}\" is not a valid name", name));
            }
            ids.push_back(model::server_id::trusted(std::string{name}));
        }
        rest.remove_prefix(std::min(end + 1, rest.size()));
    }
    if (ids.empty()) {
        return entry_error(entry, "must name at least one backend server");
    }
    return ids;
}

kernel::result<void> apply(const kernel::ini_entry& entry, model::server_info& server) {
    if (entry.key == "address") {
        server.address = entry.value;
    } else if (entry.key == "data_centre") {
        server.data_centre = model::data_centre_id::trusted(entry.value);
    } else if (entry.key == "slots") {
        BOOST_LEAF_ASSIGN(server.slots, parse_capacity(entry));
    } else if (entry.key == "connections") {
        BOOST_LEAF_ASSIGN(server.connections, parse_capacity(entry));
    } else {
        return entry_error(entry, "unknown key");
    }
    return {};
}

kernel::result<void> apply(const kernel::ini_entry& entry, model::service_info& service) {
    if (entry.key == "group") {
        service.group = entry.value;
        return {};
    }
    if (!entry.key.starts_with(shard_prefix)) {
        return entry_error(entry, "unknown key");
    }
    const auto id = entry.key.substr(shard_prefix.size());
    if (!model::is_identifier(id)) {
        return entry_error(entry, "shard id is not a valid name");
    }
    BOOST_LEAF_AUTO(servers, parse_replicas(entry));
    service.shards.push_back({model::shard_id::trusted(id), std::move(servers)});
    return {};
}

}  // namespace

kernel::result<model::shard_map> parse_shards(std::string_view text, model::revision revision) {
    BOOST_LEAF_AUTO(entries, internal::parse_entries(section_name, text));
    std::map<std::string, model::server_info> servers;
    std::map<std::string, model::service_info> services;
    for (const auto& entry : entries) {
        const bool is_server = entry.section.starts_with(server_prefix);
        if (!is_server && !entry.section.starts_with(service_prefix)) {
            return entry_error(entry, "unknown header [" + entry.section + "]");
        }
        const auto name =
            entry.section.substr(is_server ? server_prefix.size() : service_prefix.size());
        if (!model::is_identifier(name)) {
            return entry_error(entry, "\"" + name + "\" is not a valid name");
        }
        if (is_server) {
            auto& server = servers[name];
            server.server = model::server_id::trusted(name);
            BOOST_LEAF_CHECK(apply(entry, server));
        } else {
            auto& service = services[name];
            service.service = model::service_id::trusted(name);
            BOOST_LEAF_CHECK(apply(entry, service));
        }
    }
    std::vector<model::server_info> server_list;
    for (auto& [name, server] : servers) {
        if (server.address.empty()) {
            return boost::leaf::new_error(
                section_error{std::string{section_name}, 0, "address",
                              "backend server " + name + " has no address"});
        }
        server_list.push_back(std::move(server));
    }
    std::vector<model::service_info> service_list;
    for (auto& [name, service] : services) {
        service_list.push_back(std::move(service));
    }
    return create_shard_map(revision, std::move(service_list), std::move(server_list));
}

}  // namespace poplarfront::configuration
