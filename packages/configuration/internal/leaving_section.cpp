#include "configuration/leaving_section.h"

#include "configuration/internal/section_entries.h"

namespace poplarfront::configuration {
namespace {

constexpr std::string_view section_name = "leaving";

}  // namespace

kernel::result<leaving> parse_leaving(std::string_view text) {
    BOOST_LEAF_AUTO(entries, internal::parse_entries(section_name, text));
    leaving parsed;
    for (const auto& entry : entries) {
        if (entry.value != "leaving") {
            return internal::entry_error(section_name, entry, "the only value is \"leaving\"");
        }
        if (entry.section == "instances") {
            BOOST_LEAF_AUTO(
                id, internal::parse_identifier<model::instance_id>(section_name, entry, entry.key));
            parsed.instances.insert(id);
        } else if (entry.section == "backend servers") {
            BOOST_LEAF_AUTO(
                id, internal::parse_identifier<model::server_id>(section_name, entry, entry.key));
            parsed.servers.insert(id);
        } else {
            return internal::entry_error(section_name, entry,
                                         "unknown header [" + entry.section + "]");
        }
    }
    return parsed;
}

}  // namespace poplarfront::configuration
