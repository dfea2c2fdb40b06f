#pragma once

#include <string>
#include <string_view>

#include "configuration/delta.h"
#include "configuration/head.h"
#include "kernel/result.h"
#include "wire/wire_error.h"

namespace poplarfront::wire {

/// Encodes the configuration for the store and for peers. Thread-safe.
/// Errors of all decoders: wire_error for malformed bytes and for names that are not identifiers.
[[nodiscard]] std::string encode_head(const configuration::head& head);
kernel::result<configuration::head> decode_head(std::string_view bytes);

[[nodiscard]] std::string encode_blob(const configuration::section_blob& blob);
kernel::result<configuration::section_blob> decode_blob(std::string_view bytes);

[[nodiscard]] std::string encode_delta(const configuration::delta& delta);
kernel::result<configuration::delta> decode_delta(std::string_view bytes);

}  // namespace poplarfront::wire
