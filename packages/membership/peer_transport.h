#pragma once

#include <concepts>

#include "membership/gossip_message.h"

namespace poplarfront::membership {

/// Sends membership messages to other instances. Calls must return at once; messages may be lost.
template <class T>
concept peer_transport = requires(T& transport, const model::instance_info& to,
                                  const message_header& header, const gossip_message& gossip,
                                  const probe_request& request, const probe_reply& reply) {
    { transport.send_gossip(to, header, gossip) } -> std::same_as<void>;
    /// A reply with `reply_to` 0 is a push, which no other message caused.
    { transport.send_gossip_reply(to, header, gossip) } -> std::same_as<void>;
    { transport.send_probe_request(to, header, request) } -> std::same_as<void>;
    { transport.send_probe_reply(to, header, reply) } -> std::same_as<void>;
};

}  // namespace poplarfront::membership
