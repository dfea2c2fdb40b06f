#include "wire/internal/json_fields.h"

#include <spdlog/fmt/fmt.h>

namespace poplarfront::wire::internal {
namespace {

kernel::result<const boost::json::value*> find(const boost::json::object& object,
                                               std::string_view field) {
    const auto* value = object.if_contains(field);
    if (value == nullptr) {
        return boost::leaf::new_error(wire_error{std::string{field}, "is missing"});
    }
    return value;
}

}  // namespace

kernel::result<boost::json::object> parse_object(std::string_view text) {
    boost::system::error_code ec;
    auto value = boost::json::parse(text, ec);
    if (ec) {
        return boost::leaf::new_error(wire_error{"", "is not valid JSON: " + ec.message()});
    }
    if (!value.is_object()) {
        return boost::leaf::new_error(wire_error{"", "is not a JSON object"});
    }
    return std::move(value.as_object());
}

kernel::result<std::string> text_field(const boost::json::object& object, std::string_view field) {
    BOOST_LEAF_AUTO(value, find(object, field));
    if (!value->is_string()) {
        return boost::leaf::new_error(wire_error{std::string{field}, "must be a string"});
    }
    return std::string{value->get_string()};
}

kernel::result<std::int64_t> integer_field(const boost::json::object& object,
                                           std::string_view field, std::int64_t minimum,
                                           std::int64_t maximum) {
    BOOST_LEAF_AUTO(value, find(object, field));
    boost::system::error_code ec;
    const auto n = value->to_number<std::int64_t>(ec);
    if (ec || n < minimum || n > maximum) {
        return boost::leaf::new_error(wire_error{
            std::string{field}, fmt::format("must be an integer from {} to {}", minimum, maximum)});
    }
    return n;
}

kernel::result<boost::json::array> array_field(const boost::json::object& object,
                                               std::string_view field) {
    BOOST_LEAF_AUTO(value, find(object, field));
    if (!value->is_array()) {
        return boost::leaf::new_error(wire_error{std::string{field}, "must be an array"});
    }
    return value->get_array();
}

}  // namespace poplarfront::wire::internal
