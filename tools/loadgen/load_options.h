#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "model/search.h"

namespace poplarfront::loadgen {

/// A searcher and its part of the load.
struct searcher_load {
    model::searcher_id searcher;
    double weight = 1.0;
    friend auto operator<=>(const searcher_load&, const searcher_load&) = default;
};

/// One searcher multiplies its load for a while.
struct surge {
    model::searcher_id searcher;
    double factor = 1.0;
    std::chrono::milliseconds from{0};
    std::chrono::milliseconds length{0};

    /// Whether the surge is on at a time since the start of the run.
    [[nodiscard]] bool contains(std::chrono::microseconds at) const {
        return at >= from && at < from + length;
    }
    friend auto operator<=>(const surge&, const surge&) = default;
};

struct load_options {
    /// IP:PORT of the instances; each request goes to a random one.
    std::vector<std::string> instances;
    std::vector<searcher_load> searchers;
    /// Searched services; not used if `group` is given.
    std::vector<std::string> services;
    std::string group;
    /// Replaces the mix of `all` and `key:` queries if it is not empty.
    std::string query;
    /// Part of the queries that ask for one key out of `keys`.
    double key_fraction = 0.5;
    std::uint64_t keys = 1000;
    /// Requests per second without a surge; arrivals are a Poisson process.
    double rate = 100.0;
    std::chrono::milliseconds duration{10'000};
    std::uint64_t max_requests = 1'000'000;
    std::chrono::milliseconds deadline{500};
    std::optional<surge> extra;
    /// Part of the requests that are actions, sent to one of `action_targets`.
    double action_fraction = 0.0;
    std::vector<model::shard_ref> action_targets;
    /// How often an action without a known outcome is sent again with its request key.
    std::uint32_t action_resends = 0;
    /// Requests under way at once; more are counted as not offered.
    std::size_t max_in_flight = 20'000;
    /// Connections to each instance.
    std::size_t connections = 256;
    /// IP:PORT of backend servers whose counters are compared before and after.
    std::vector<std::string> backends;
    std::uint64_t seed = 1;
    friend bool operator==(const load_options&, const load_options&) = default;
};

}  // namespace poplarfront::loadgen
