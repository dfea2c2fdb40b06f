#pragma once

#include <compare>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "kernel/concepts.h"
#include "model/identifier.h"

namespace poplarfront::gateway {

/// Whether a request may be executed more than once.
enum class retry_safety { safe, at_most_once };

/// One service of a weighted split.
struct split_part {
    model::service_id service;
    double weight = 1;
    friend auto operator<=>(const split_part&, const split_part&) = default;
};

/// Distributes requests over services in proportion to their weights. Never empty.
struct weighted_split {
    std::vector<split_part> parts;
    friend auto operator<=>(const weighted_split&, const weighted_split&) = default;
};

/// A scatter-gather query: each shard is a service, and the answer holds the top k records of all
/// shards, compared byte by byte.
struct gather_plan {
    /// Shared by the routes of a configuration that have the same shards. Never null.
    std::shared_ptr<const std::vector<model::service_id>> shards;
    /// Maximum number of records in the answer.
    std::uint32_t top_k = 0;
    /// Minimum fraction of the shards, in (0, 1], that an answer has to include.
    double min_coverage = 1;

    friend bool operator==(const gather_plan& a, const gather_plan& b) {
        return *a.shards == *b.shards && a.top_k == b.top_k && a.min_coverage == b.min_coverage;
    }
};

using destination = std::variant<model::service_id, weighted_split, gather_plan>;

/// How to handle requests for a host whose path begins with a prefix. Immutable.
struct route {
    std::string name;
    /// In lower case, without a port.
    std::string host;
    /// Begins and ends with a slash.
    std::string path_prefix;
    retry_safety kind = retry_safety::safe;
    /// Maximum number of backend servers that get a request, for each shard.
    std::uint32_t max_attempts = 1;
    /// Maximum time until the client is answered.
    kernel::duration timeout{};
    /// Latency objective: later answers are of less value to the client.
    kernel::duration objective{};
    /// 0 is the most urgent.
    std::uint32_t priority = 0;
    destination target;
    friend bool operator==(const route&, const route&) = default;
};

}  // namespace poplarfront::gateway
