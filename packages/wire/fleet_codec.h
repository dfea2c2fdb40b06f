#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

#include "gateway/store_update.h"
#include "kernel/result.h"
#include "wire/wire_error.h"

namespace poplarfront::wire {

/// Asks for what the receiver knows of the store.
struct fleet_request {
    /// The sender knows all changes up to this revision.
    std::uint64_t after = 0;
    /// IP:PORT for the reply.
    std::string reply_to;
    friend auto operator<=>(const fleet_request&, const fleet_request&) = default;
};

/// The payload of kind fleet_request.
std::string encode_fleet_request(const fleet_request& request);
/// Errors: wire_error without a field if the bytes are malformed.
kernel::result<fleet_request> decode_fleet_request(std::string_view bytes);

/// The payload of kind fleet_reply.
std::string encode_fleet_reply(const gateway::store_update& news);
/// Errors: wire_error without a field if the bytes are malformed.
kernel::result<gateway::store_update> decode_fleet_reply(std::string_view bytes);

}  // namespace poplarfront::wire
