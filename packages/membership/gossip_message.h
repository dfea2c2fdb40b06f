#pragma once

#include <chrono>
#include <cstdint>
#include <variant>
#include <vector>

#include "model/identifier.h"
#include "model/instance_view.h"

namespace poplarfront::membership {

/// Who sent a peer message, and which message it answers.
struct message_header {
    model::instance_id sender;
    model::incarnation sender_incarnation;
    std::uint64_t message_id = 0;
    /// The message that this one answers; 0 if none.
    std::uint64_t reply_to = 0;
    friend auto operator<=>(const message_header&, const message_header&) = default;
};

/// A backend server that an owner saw draining, and for how long the notice stays valid.
struct draining_notice {
    model::server_id server;
    std::chrono::milliseconds remaining{0};
    friend auto operator<=>(const draining_notice&, const draining_notice&) = default;
};

/// What one instance tells another about the membership. The first member is the sender itself.
struct gossip_message {
    /// The number of rows the sender knows; a peer that knows more sends more rows.
    std::uint32_t table_size = 0;
    std::vector<model::instance_info> members;
    std::vector<draining_notice> draining;
    /// Fingerprints of quarantined queries.
    std::vector<std::uint64_t> quarantined;
    friend auto operator<=>(const gossip_message&, const gossip_message&) = default;
};

/// Asks another instance to exchange gossip with `target` and to tell whether it answered.
struct probe_request {
    model::instance_id target;
    friend auto operator<=>(const probe_request&, const probe_request&) = default;
};

struct probe_reply {
    model::instance_id target;
    bool reached = false;
    friend auto operator<=>(const probe_reply&, const probe_reply&) = default;
};

/// A gossip message, or the reply to one.
struct gossip_body {
    bool reply = false;
    gossip_message message;
    friend auto operator<=>(const gossip_body&, const gossip_body&) = default;
};

using message_body = std::variant<gossip_body, probe_request, probe_reply>;

/// Upper bound of the encoded size of a row in bytes.
[[nodiscard]] std::size_t max_encoded_size(const model::instance_info& row);

/// The incarnation of a process that starts at this wall-clock time. The low 16 bits count the
/// refutations of one process, so the next start is always higher.
[[nodiscard]] model::incarnation first_incarnation(std::chrono::milliseconds since_epoch);

/// The part of an incarnation that is the same for all refutations of one process.
[[nodiscard]] std::uint64_t process_start(model::incarnation incarnation);

}  // namespace poplarfront::membership
