#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "kernel/result.h"
#include "model/action.h"
#include "routing/sub_query.h"
#include "wire/wire_error.h"

namespace poplarfront::wire {

// Payloads of messages that carry requests between instances. Deadlines are encoded as
// milliseconds from `now`. All functions are thread-safe. Decoding errors are wire_error.

std::string encode_batch(const routing::sub_query_batch& batch, kernel::time_point now);
kernel::result<routing::sub_query_batch> decode_batch(std::string_view bytes,
                                                      kernel::time_point now);

std::string encode_batch_result(const routing::sub_query_result& result);
kernel::result<routing::sub_query_result> decode_batch_result(std::string_view bytes);

/// Identifies a batch that its session no longer needs.
struct batch_cancel {
    model::request_id request;
    std::uint32_t batch = 0;
    friend auto operator<=>(const batch_cancel&, const batch_cancel&) = default;
};
std::string encode_batch_cancel(const batch_cancel& cancel);
kernel::result<batch_cancel> decode_batch_cancel(std::string_view bytes);

/// An action that its entry instance forwards to its home instance.
struct action_forward {
    /// Unique among the forwards of the sender until its process restarts. Request ids are not,
    /// since callers may choose them.
    std::uint64_t message_id = 0;
    model::action_request action;
    friend auto operator<=>(const action_forward&, const action_forward&) = default;
};
std::string encode_action_forward(const action_forward& forward, kernel::time_point now);
/// Refuses a forward without a message id.
kernel::result<action_forward> decode_action_forward(std::string_view bytes,
                                                     kernel::time_point now);

/// The outcome of a forwarded action, with the message id of the forward.
struct action_result {
    std::uint64_t message_id = 0;
    model::request_id request;
    model::searcher_id searcher;
    model::action_outcome outcome;
    friend auto operator<=>(const action_result&, const action_result&) = default;
};
std::string encode_action_result(const action_result& result);
kernel::result<action_result> decode_action_result(std::string_view bytes);

}  // namespace poplarfront::wire
