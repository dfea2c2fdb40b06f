#pragma once

#include <cstddef>
#include <limits>
#include <string>
#include <string_view>

#include "kernel/result.h"
#include "model/identifier.h"
#include "wire/wire_error.h"

namespace poplarfront::wire::internal {

/// Parses a protobuf message. Errors: wire_error without a field if the bytes are malformed.
template <class Message>
kernel::result<Message> parse_message(std::string_view bytes) {
    constexpr auto max_bytes = static_cast<std::size_t>(std::numeric_limits<int>::max());
    Message message;
    if (bytes.size() > max_bytes ||
        !message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
        return boost::leaf::new_error(wire_error{"", "message is malformed"});
    }
    return message;
}

/// Errors: wire_error with the field if `text` is not an identifier.
template <class Identifier>
kernel::result<Identifier> checked_identifier(const std::string& text, std::string_view field) {
    if (!model::is_identifier(text)) {
        return boost::leaf::new_error(wire_error{std::string{field}, "is not a valid name"});
    }
    return Identifier::trusted(text);
}

}  // namespace poplarfront::wire::internal
