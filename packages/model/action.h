#pragma once

#include <string>
#include <string_view>

#include "model/search.h"

namespace poplarfront::model {

/// A request of a caller to execute an action at most once.
struct action_request {
    request_id request;
    searcher_id searcher;
    /// The shard whose backend server executes the action.
    shard_ref target;
    /// `<time of issue in ms since the epoch>-<unique part>`. Requests with equal keys are requests
    /// for the same action.
    std::string request_key;
    std::string body;
    kernel::time_point deadline;
    friend auto operator<=>(const action_request&, const action_request&) = default;
};

enum class action_status {
    /// The backend server executed it for this request.
    executed,
    /// An earlier request with the same key executed it; the reply is the recorded one.
    already_executed,
    /// Nothing was sent, or the backend server refused it before execution.
    not_run,
    /// It may have been executed.
    unknown,
};
[[nodiscard]] std::string_view to_string(action_status status);

/// The outcome of an action, with the reply of the backend server or the reason for a refusal.
struct action_outcome {
    action_status status = action_status::unknown;
    std::string reply;
    std::string reason;
    friend auto operator<=>(const action_outcome&, const action_outcome&) = default;
};

}  // namespace poplarfront::model
