#include "wire/instance_list.h"

#include "wire/internal/json_fields.h"

namespace poplarfront::wire {
namespace {

using internal::identifier_field;
using internal::text_field;

kernel::result<membership::instance_list_entry> entry_of(const boost::json::object& object) {
    membership::instance_list_entry entry;
    BOOST_LEAF_ASSIGN(entry.row.instance, identifier_field<model::instance_id>(object, "instance"));
    BOOST_LEAF_ASSIGN(entry.row.data_centre,
                      identifier_field<model::data_centre_id>(object, "data_centre"));
    BOOST_LEAF_ASSIGN(entry.row.peer_address, text_field(object, "peer_address"));
    BOOST_LEAF_AUTO(status, text_field(object, "status"));
    entry.leaving = status == "leaving";
    return entry;
}

}  // namespace

kernel::result<std::vector<membership::instance_list_entry>> decode_instance_list(
    std::string_view body) {
    BOOST_LEAF_AUTO(object, internal::parse_object(body));
    BOOST_LEAF_AUTO(values, internal::array_field(object, "instances"));
    std::vector<membership::instance_list_entry> entries;
    for (const auto& value : values) {
        if (!value.is_object()) {
            continue;
        }
        if (auto entry = entry_of(value.get_object())) {
            entries.push_back(std::move(entry.value()));
        }
    }
    return entries;
}

kernel::result<std::vector<std::string>> decode_operator_addresses(std::string_view body) {
    BOOST_LEAF_AUTO(object, internal::parse_object(body));
    BOOST_LEAF_AUTO(entries, internal::array_field(object, "instances"));
    std::vector<std::string> addresses;
    for (const auto& entry : entries) {
        const auto* fields = entry.if_object();
        const auto* address = fields == nullptr ? nullptr : fields->if_contains("operator_address");
        if (address != nullptr && address->is_string()) {
            addresses.emplace_back(address->get_string());
        }
    }
    return addresses;
}

}  // namespace poplarfront::wire
