#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "kernel/result.h"
#include "membership/gossip_message.h"
#include "wire/wire_error.h"

namespace poplarfront::wire {

/// The payload of a message of kind membership; the sender is in the envelope.
struct membership_payload {
    std::uint64_t message_id = 0;
    /// The id of the message that this one answers; 0 if none.
    std::uint64_t reply_to = 0;
    membership::message_body body;
    friend auto operator<=>(const membership_payload&, const membership_payload&) = default;
};

/// Thread-safe.
std::string encode_membership(const membership_payload& payload);

/// Errors: wire_error, without a field if the bytes are malformed. Thread-safe.
kernel::result<membership_payload> decode_membership(std::string_view bytes);

}  // namespace poplarfront::wire
