#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "configuration/announcement.h"
#include "configuration/configuration_messages.h"
#include "configuration/configuration_status.h"
#include "configuration/delta.h"
#include "configuration/head.h"
#include "configuration/store_codec.h"
#include "kernel/result.h"
#include "wire/wire_error.h"

namespace poplarfront::wire {

// Functions that encode and decode the configuration in the store and in messages between
// instances. Thread-safe. Errors of all decoders: wire_error if the bytes are malformed or a field
// is missing or invalid.

[[nodiscard]] std::string encode_head(const configuration::head& head);
kernel::result<configuration::head> decode_head(std::string_view bytes);

[[nodiscard]] std::string encode_blob(const configuration::section_blob& blob);
kernel::result<configuration::section_blob> decode_blob(std::string_view bytes);

[[nodiscard]] std::string encode_delta(const configuration::delta& delta);
kernel::result<configuration::delta> decode_delta(std::string_view bytes);

/// The body of POST /v1/config/announce.
[[nodiscard]] std::string encode_announcement(const configuration::announcement& announcement);
kernel::result<configuration::announcement> decode_announcement(std::string_view bytes);

/// The payload of a message of kind configuration.
[[nodiscard]] std::string encode_configuration_message(
    const configuration::configuration_message& message);
kernel::result<configuration::configuration_message> decode_configuration_message(
    std::string_view bytes);

/// The response body of GET /v1/config/status, as JSON.
[[nodiscard]] std::string encode_status(const configuration::configuration_status& status);
kernel::result<configuration::configuration_status> decode_status(std::string_view body);

/// The encoding of the configuration in the store.
struct configuration_store_codec {
    [[nodiscard]] std::string encode(const configuration::head& head) const;
    [[nodiscard]] std::string encode(const configuration::section_blob& blob) const;
    [[nodiscard]] std::optional<configuration::head> head(std::string_view bytes) const;
    [[nodiscard]] std::optional<configuration::section_blob> blob(std::string_view bytes) const;
};
static_assert(configuration::store_codec<configuration_store_codec>);

}  // namespace poplarfront::wire
