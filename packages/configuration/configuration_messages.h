#pragma once

#include <optional>
#include <string>
#include <variant>

#include "configuration/head.h"

namespace poplarfront::configuration {

enum class gossip_kind {
    /// Tells the sender's revision and asks for a reply.
    pull,
    /// Tells of a new revision; answered only if the receiver has a newer one.
    push,
    /// Answers a digest or a push.
    reply,
};

struct gossip_message {
    model::deployment_id deployment;
    /// The sender's document revision.
    model::revision sender_revision;
    gossip_kind kind = gossip_kind::pull;
    /// Made with head::update_since.
    std::optional<head> update;
    friend auto operator<=>(const gossip_message&, const gossip_message&) = default;
};

/// Asks for a whole section at this or a later revision.
struct section_fetch {
    std::string section;
    model::revision revision;
    friend auto operator<=>(const section_fetch&, const section_fetch&) = default;
};

/// A whole section in canonical text.
struct section_content {
    model::deployment_id deployment;
    std::string section;
    model::revision revision;
    std::string text;
    friend auto operator<=>(const section_content&, const section_content&) = default;
};

using configuration_message = std::variant<gossip_message, section_fetch, section_content>;

}  // namespace poplarfront::configuration
