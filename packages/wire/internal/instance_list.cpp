#include "wire/instance_list.h"

#include "wire/internal/json_fields.h"

namespace poplarfront::wire {

kernel::result<std::vector<std::string>> decode_operator_addresses(std::string_view body) {
    BOOST_LEAF_AUTO(object, internal::parse_object(body));
    BOOST_LEAF_AUTO(entries, internal::array_field(object, "instances"));
    std::vector<std::string> addresses;
    for (const auto& entry : entries) {
        const auto* fields = entry.if_object();
        if (fields != nullptr && fields->contains("operator_address")) {
            BOOST_LEAF_AUTO(address, internal::text_field(*fields, "operator_address"));
            addresses.push_back(std::move(address));
        }
    }
    return addresses;
}

}  // namespace poplarfront::wire
