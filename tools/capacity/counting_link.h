#pragma once

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <unordered_set>

#include "membership/virtual_cluster.h"

namespace poplarfront::capacity {

/// A link for virtual_cluster that encodes each message as it would be sent, counts the bytes, and
/// decodes it, since a receiver does.
class counting_link {
public:
    std::optional<kernel::duration> transit(const membership::peer_message& message,
                                            kernel::time_point now);

    /// Starts to count from 0.
    void reset();
    /// The most bytes that one instance sent.
    [[nodiscard]] std::uint64_t most_sent() const;

    std::uint64_t messages = 0;
    std::uint64_t total_sent_bytes = 0;
    /// Without messages to instances that do not run.
    std::uint64_t received_bytes = 0;
    std::unordered_map<model::instance_id, std::uint64_t> sent_bytes;
    std::unordered_set<model::instance_id> stopped;
    /// Cut off from all others.
    std::optional<model::data_centre_id> cut_off;
};

/// Instance number `n` as it is when it starts at `now`, with names and addresses of usual lengths.
model::instance_info numbered_instance(std::uint64_t n, kernel::time_point now);

}  // namespace poplarfront::capacity
