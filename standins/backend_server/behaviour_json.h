#pragma once

#include <string>
#include <string_view>

#include "backend_server/backend_behaviour.h"

namespace poplarfront::standins {

/// Why a control or cancel request was refused.
struct control_error {
    std::string field;
    std::string message;
    friend auto operator<=>(const control_error&, const control_error&) = default;
};

/// The attempt that a cancel names.
struct cancel_target {
    model::request_id request;
    std::uint32_t attempt = 0;
    friend auto operator<=>(const cancel_target&, const cancel_target&) = default;
};

/// Applies the body of `POST /control` to a behaviour. All fields are optional: `slots`, `queue`,
/// `latency_us`, `latency_sigma`, `straggle_factor`, `cold_start_ms`, `cold_factor`, `draining`,
/// `oldest_version`, `newest_version`, `crash_text`, `load_report` (exact, lagging, fixed),
/// `load_lag_ms`, `load`, and `layout` with `from_revision`, `shards`, `service_shards` and
/// `keep_previous`.
/// Errors: control_error for malformed JSON, unknown fields and values of a wrong type.
kernel::result<backend_behaviour> apply_control(std::string_view body, backend_behaviour behaviour);

/// Errors: control_error.
kernel::result<cancel_target> decode_cancel(std::string_view body);

/// Body of the response to `GET /counters`.
std::string encode_counters(const std::string& name, const backend_counters& counters,
                            std::size_t connections);

}  // namespace poplarfront::standins
