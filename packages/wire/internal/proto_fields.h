#pragma once

#include <google/protobuf/stubs/logging.h>

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
    // The library would write a line to the standard error for many malformed messages, outside of
    // the limits of the log. The caller logs the returned error.
    [[maybe_unused]] static const auto previous_handler = google::protobuf::SetLogHandler(nullptr);
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
