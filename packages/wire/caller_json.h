#pragma once

#include <string>
#include <string_view>

#include "model/action.h"
#include "model/search.h"
#include "model/shard_map.h"
#include "wire/wire_error.h"

namespace poplarfront::wire {

/// The range of `deadline_ms` in requests of callers.
inline constexpr std::int64_t min_deadline_ms = 1;
inline constexpr std::int64_t max_deadline_ms = 60'000;

/// Decodes the body of `POST /v1/search`:
/// `{"searcher", "services": [..] or "group", "query", "deadline_ms", "request"?}`.
/// `generated` is the request id if the caller gives none; `now` is when the request arrived.
/// Errors: wire_error with the invalid field, also for a service or group that `map` does not
/// contain.
/// Thread-safe.
kernel::result<model::search_request> decode_search(std::string_view body,
                                                    const model::shard_map& map,
                                                    const model::request_id& generated,
                                                    kernel::time_point now);

/// Encodes the answer to a search as JSON. Thread-safe.
std::string encode_answer(const model::search_answer& answer);

/// Decodes the body of `POST /v1/actions`:
/// `{"searcher", "service", "shard", "request_key", "body", "deadline_ms", "request"?}`.
/// Errors and thread safety as for decode_search.
kernel::result<model::action_request> decode_action(std::string_view body,
                                                    const model::shard_map& map,
                                                    const model::request_id& generated,
                                                    kernel::time_point now);

/// Encodes the outcome of an action as JSON. Thread-safe.
std::string encode_outcome(const model::action_request& request,
                           const model::action_outcome& outcome);

/// Encodes the reply to a request that was refused and not executed, as
/// `{"error": {"type", "field", "message", "not_run": true}}`. Thread-safe.
std::string encode_refusal(std::string_view type, std::string_view field, std::string_view message);

}  // namespace poplarfront::wire
