#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

#include "gateway/store_update.h"
#include "kernel/result.h"
#include "wire/wire_error.h"

namespace poplarfront::wire {

/// Asks another instance for the contents of the store as that instance has read them.
struct fleet_request {
    /// What the sender already knows.
    gateway::store_position known;
    /// IP:PORT for the reply.
    std::string reply_to;
    /// Whether the reply may be a part of an update. Instances of earlier versions expect all keys
    /// or all changes in one message.
    bool accepts_parts = true;
    friend auto operator<=>(const fleet_request&, const fleet_request&) = default;
};

/// The payload of a message of kind fleet_request.
std::string encode_fleet_request(const fleet_request& request);
/// Errors: wire_error without a field if the bytes are malformed.
kernel::result<fleet_request> decode_fleet_request(std::string_view bytes);

/// The payload of a message of kind fleet_reply.
std::string encode_fleet_reply(const gateway::store_update& update);
/// Errors: wire_error without a field if the bytes are malformed.
kernel::result<gateway::store_update> decode_fleet_reply(std::string_view bytes);

}  // namespace poplarfront::wire
