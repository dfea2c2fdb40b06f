#pragma once

#include <concepts>
#include <optional>
#include <string>

#include "configuration/head.h"

namespace poplarfront::configuration {

/// Encodes and decodes heads and blobs for the store. Decoding malformed bytes returns an empty
/// optional.
template <class T>
concept store_codec = requires(const T& codec, const head& head, const section_blob& blob,
                               const std::string& bytes) {
    { codec.encode(head) } -> std::same_as<std::string>;
    { codec.encode(blob) } -> std::same_as<std::string>;
    { codec.head(bytes) } -> std::same_as<std::optional<configuration::head>>;
    { codec.blob(bytes) } -> std::same_as<std::optional<section_blob>>;
};

}  // namespace poplarfront::configuration
