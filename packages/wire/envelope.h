#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "kernel/result.h"
#include "model/identifier.h"
#include "wire/wire_error.h"

namespace poplarfront::wire {

/// Incremented when messages between instances change in a way that older instances would misread.
inline constexpr std::uint32_t protocol_version = 1;

/// The type of the payload of an envelope. The values are those of MessageKind in peer.proto.
enum class message_kind : std::uint32_t {
    sub_query_batch = 1,
    sub_query_result = 2,
    sub_query_cancel = 3,
    action_forward = 4,
    action_result = 5,
    membership = 6,
    configuration = 7,
    fleet_request = 8,
    fleet_reply = 9,
    /// GATHER_ORDER: starts a delegated gather.
    delegated_gather = 10,
    gather_cancel = 11,
    gather_report = 12,
    gather_confirmation = 13,
    /// GATHER_GREETING: opens connections before the first delegated gather.
    gather_warm_up = 14,
};

/// A message between instances.
struct envelope {
    model::deployment_id deployment;
    model::instance_id sender;
    model::incarnation sender_incarnation;
    message_kind kind = message_kind::membership;
    std::string payload;
    friend auto operator<=>(const envelope&, const envelope&) = default;
};

/// Encodes an envelope with the current protocol version. Thread-safe.
std::string encode_envelope(const envelope& message);

/// Decodes an envelope.
/// Errors: wire_error with field "protocol_version" for an unsupported version, "deployment" for a
/// message of another deployment, "kind" or "sender" for invalid values, and no field for bytes
/// that are not a protobuf message. Thread-safe.
kernel::result<envelope> decode_envelope(std::string_view bytes,
                                         const model::deployment_id& own_deployment);

}  // namespace poplarfront::wire
