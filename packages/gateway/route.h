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

/// Whether a request may run more than once.
enum class retry_safety { safe, at_most_once };

/// One service of a weighted split.
struct split_part {
    model::service_id service;
    double weight = 1;
    friend auto operator<=>(const split_part&, const split_part&) = default;
};

/// Requests go to the services in proportion to their weights. Never empty.
struct weighted_split {
    std::vector<split_part> parts;
    friend auto operator<=>(const weighted_split&, const weighted_split&) = default;
};

/// A query over many shards: each shard is a service, and the answer has the greatest records.
struct gather_plan {
    /// Routes of one configuration often name the same shards and share the list. Never null.
    std::shared_ptr<const std::vector<model::service_id>> shards;
    /// Records in the answer at most.
    std::uint32_t top_k = 0;
    /// Share of the shards, in (0, 1], that an answer must have.
    double min_coverage = 1;

    friend bool operator==(const gather_plan& a, const gather_plan& b) {
        return *a.shards == *b.shards && a.top_k == b.top_k && a.min_coverage == b.min_coverage;
    }
};

using destination = std::variant<model::service_id, weighted_split, gather_plan>;

/// What to do with the requests for one host whose path begins with one prefix. Immutable.
struct route {
    std::string name;
    std::string host;
    /// Begins and ends with a slash.
    std::string path_prefix;
    retry_safety kind = retry_safety::safe;
    /// Backend servers that one request may be sent to, for each shard.
    std::uint32_t max_attempts = 1;
    /// The longest time that a caller is kept waiting.
    kernel::duration timeout{};
    /// The time within which an answer is worth its full value to the caller.
    kernel::duration objective{};
    /// 0 is the most urgent.
    std::uint32_t priority = 0;
    destination target;
    friend bool operator==(const route&, const route&) = default;
};

}  // namespace poplarfront::gateway
