#pragma once

#include <optional>
#include <string>
#include <variant>

#include "configuration/head.h"

namespace poplarfront::configuration {

enum class gossip_kind {
    /// Carries the sender's revision and requests a reply.
    pull,
    /// Carries a new update; the receiver replies only if it has a newer revision.
    push,
    /// Replies to a pull or a push.
    reply,
};

struct gossip_message {
    model::deployment_id deployment;
    /// The sender's document revision.
    model::revision sender_revision;
    gossip_kind kind = gossip_kind::pull;
    /// Created by `head::update_since`; empty in a pull, and in a reply to a receiver that is not
    /// behind.
    std::optional<head> update;
    friend auto operator<=>(const gossip_message&, const gossip_message&) = default;
};

/// Requests a whole section at this or a later revision.
struct section_fetch {
    std::string section;
    model::revision revision;
    friend auto operator<=>(const section_fetch&, const section_fetch&) = default;
};

/// A whole section as canonical text.
struct section_content {
    model::deployment_id deployment;
    std::string section;
    model::revision revision;
    std::string text;
    friend auto operator<=>(const section_content&, const section_content&) = default;
};

using configuration_message = std::variant<gossip_message, section_fetch, section_content>;

}  // namespace poplarfront::configuration
