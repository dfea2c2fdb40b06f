#pragma once

#include <string>
#include <string_view>

#include "at_most_once/claim.h"
#include "wire/wire_error.h"

namespace poplarfront::wire {

/// Encodes and decodes claim buckets as values in the store (claims.proto). Thread-safe.
struct claims_codec {
    static std::string encode(const at_most_once::claim_bucket& bucket);

    /// Decodes an empty value as an empty bucket. Errors: wire_error if the value is malformed or
    /// has an unsupported format.
    static kernel::result<at_most_once::claim_bucket> decode(std::string_view bytes);
};

static_assert(at_most_once::bucket_codec<claims_codec>);

}  // namespace poplarfront::wire
