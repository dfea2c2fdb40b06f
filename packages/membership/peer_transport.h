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
    /// Sends a reply, or a push, which expects no reply either; `reply_to` is 0 for a push.
    { transport.send_gossip_reply(to, header, gossip) } -> std::same_as<void>;
    { transport.send_probe_request(to, header, request) } -> std::same_as<void>;
    { transport.send_probe_reply(to, header, reply) } -> std::same_as<void>;
};

}  // namespace poplarfront::membership
