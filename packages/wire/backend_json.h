#pragma once

#include <string>
#include <string_view>

#include "model/action.h"
#include "model/backend.h"
#include "wire/wire_error.h"

namespace poplarfront::wire {

/// The reply of a backend server to an action.
struct backend_action_reply {
    model::request_id request;
    model::searcher_id searcher;
    /// ok, shed, draining, wrong_map or bad_request; the decoder also accepts version_unavailable.
    model::attempt_status status = model::attempt_status::bad_request;
    std::string reply;
    friend auto operator<=>(const backend_action_reply&, const backend_action_reply&) = default;
};

/// Body of `POST /query` to a backend server, with the deadline as milliseconds from `now`.
std::string encode_attempt(const model::shard_attempt& attempt, kernel::time_point now);

/// Errors: wire_error with the invalid field.
kernel::result<model::shard_attempt> decode_attempt(std::string_view body, kernel::time_point now);

std::string encode_attempt_reply(const model::attempt_reply& reply);

/// Errors: wire_error with the invalid field.
kernel::result<model::attempt_reply> decode_attempt_reply(std::string_view body);

/// Body of `POST /cancel`.
std::string encode_cancel(const model::request_id& request, std::uint32_t attempt);

/// Body of `POST /action` to a backend server, with the deadline as milliseconds from `now`.
std::string encode_backend_action(const model::action_request& action, kernel::time_point now);

/// Errors: wire_error with the invalid field.
kernel::result<model::action_request> decode_backend_action(std::string_view body,
                                                            kernel::time_point now);

std::string encode_backend_action_reply(const backend_action_reply& reply);

/// Errors: wire_error with the invalid field.
kernel::result<backend_action_reply> decode_backend_action_reply(std::string_view body);

}  // namespace poplarfront::wire
