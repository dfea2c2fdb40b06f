#pragma once

#include <string>
#include <string_view>

#include "kernel/result.h"
#include "membership/gossip_message.h"
#include "wire/wire_error.h"

namespace poplarfront::wire {

namespace proto {
class Gossip;
class MemberUpdate;
}  // namespace proto

/// Writes `gossip` to `message`, which must be empty.
void set_gossip(const membership::gossip_message& gossip, proto::Gossip& message);

/// Errors: wire_error with the field that holds an invalid identifier, status or address.
kernel::result<membership::gossip_message> get_gossip(const proto::Gossip& message);

/// The encoded Gossip message, as in the fields `gossip` and `gossip_reply` of MembershipMessage.
std::string encode_gossip(const membership::gossip_message& gossip);

/// Errors: wire_error, without a field if the bytes are not a protobuf message, else as get_gossip.
kernel::result<membership::gossip_message> decode_gossip(std::string_view bytes);

}  // namespace poplarfront::wire
