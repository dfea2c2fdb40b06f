#pragma once

#include <string>
#include <vector>

#include "loadgen/received.h"

namespace poplarfront::loadgen {

/// What an answer must match.
struct expected_answer {
    std::string request;
    std::string searcher;
    std::string query;
    friend auto operator<=>(const expected_answer&, const expected_answer&) = default;
};

/// The promises that an answer breaks, in words; empty if none. Records must come from the backend
/// server stand-in, which holds every key and states version and shard in each record.
std::vector<std::string> broken_promises(const expected_answer& expected,
                                         const received_answer& answer);

/// What became of an action as its caller was told, over all its resends.
struct action_history {
    std::string request_key;
    /// The statuses in the order of their arrival; empty for a call without a response.
    std::vector<std::string> statuses;
    friend auto operator<=>(const action_history&, const action_history&) = default;
};

/// The promises that an action breaks if it was executed `executions` times.
std::vector<std::string> broken_promises(const action_history& history, std::uint64_t executions);

}  // namespace poplarfront::loadgen
