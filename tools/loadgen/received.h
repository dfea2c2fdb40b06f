#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "model/action.h"

namespace poplarfront::loadgen {

/// A response that could not be understood.
struct response_error {
    std::string message;
    friend auto operator<=>(const response_error&, const response_error&) = default;
};

/// An answer to a search as it arrived, unchecked. Shards have the form service:shard.
struct received_answer {
    std::string request;
    std::string searcher;
    bool complete = false;
    model::index_version version;
    std::vector<model::record> records;
    std::vector<std::string> covered;
    std::vector<std::string> missing;
    friend auto operator<=>(const received_answer&, const received_answer&) = default;
};

/// The outcome of an action as it arrived, unchecked.
struct received_outcome {
    std::string request;
    std::string searcher;
    std::string request_key;
    std::string status;
    std::string reply;
    friend auto operator<=>(const received_outcome&, const received_outcome&) = default;
};

struct received_refusal {
    std::string type;
    bool not_run = false;
    friend auto operator<=>(const received_refusal&, const received_refusal&) = default;
};

/// What a backend server has counted.
struct received_counters {
    /// When it began to count; another value means that counts were lost.
    std::int64_t since_us = 0;
    std::uint64_t queries = 0;
    std::map<std::string, std::uint64_t> actions_executed;
    friend auto operator<=>(const received_counters&, const received_counters&) = default;
};

/// Errors of all: response_error.
kernel::result<received_answer> decode_answer(std::string_view body);
kernel::result<received_outcome> decode_outcome(std::string_view body);
kernel::result<received_refusal> decode_refusal(std::string_view body);
kernel::result<received_counters> decode_counters(std::string_view body);

}  // namespace poplarfront::loadgen
