#pragma once

#include <boost/json.hpp>
#include <string>
#include <string_view>

#include "kernel/result.h"
#include "model/identifier.h"
#include "wire/wire_error.h"

namespace poplarfront::wire::internal {

/// Parses a JSON object. Errors: wire_error without a field.
kernel::result<boost::json::object> parse_object(std::string_view text);

/// Errors of this and the following functions: wire_error with the field if it is missing, has
/// another type or is out of range.
kernel::result<std::string> text_field(const boost::json::object& object, std::string_view field);
kernel::result<std::int64_t> integer_field(const boost::json::object& object,
                                           std::string_view field, std::int64_t minimum,
                                           std::int64_t maximum);
kernel::result<boost::json::array> array_field(const boost::json::object& object,
                                               std::string_view field);

template <class Identifier>
kernel::result<Identifier> identifier_field(const boost::json::object& object,
                                            std::string_view field) {
    BOOST_LEAF_AUTO(text, text_field(object, field));
    if (!model::is_identifier(text)) {
        return boost::leaf::new_error(wire_error{
            std::string{field}, "must be 1 to 64 letters, digits, '.', '_', '-' or '/'"});
    }
    return Identifier::trusted(std::move(text));
}

}  // namespace poplarfront::wire::internal
