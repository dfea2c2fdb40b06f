#include "wire/instance_list.h"

#include "wire/internal/json_fields.h"

namespace poplarfront::wire {

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
