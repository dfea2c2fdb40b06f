#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "kernel/concepts.h"

namespace poplarfront::gateway {

/// Load that a backend server reports with a reply.
struct reported_load {
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    /// Maximum number of requests that it executes concurrently. Never 0.
    std::uint32_t slots = 1;
    friend auto operator<=>(const reported_load&, const reported_load&) = default;
};

/// A complete reply of a backend server.
struct backend_reply {
    unsigned status = 0;
    /// The backend server's signature of this reply; empty if there is none.
    std::string signature;
    std::string body;
    /// The length that the header of a reply to HEAD states for the body that GET would get; absent
    /// if it states none, or if the reply has a body.
    std::optional<std::uint64_t> stated_length;
    /// Header fields to forward to the client; empty for a part of a gather.
    std::vector<std::pair<std::string, std::string>> fields;
    std::optional<reported_load> load;
    /// False if the backend server states that it has not run the request and will not.
    bool executed = true;
    /// Whether a client concludes from the status that the request has not run.
    bool status_implies_not_run = false;
    /// Whether the address now belongs to another backend server, which did not run the request.
    bool misdirected = false;
    /// Whether the backend server states that it is about to leave.
    bool leaving = false;
    /// How long the backend server wants no further requests; absent if it does not say so.
    std::optional<kernel::duration> retry_after;

    [[nodiscard]] bool success() const {
        constexpr unsigned first_success = 200;
        constexpr unsigned first_redirection = 300;
        return status >= first_success && status < first_redirection;
    }
    friend auto operator<=>(const backend_reply&, const backend_reply&) = default;
};

/// How an attempt ended.
enum class attempt_end {
    /// A complete reply arrived.
    replied,
    /// No byte of the request was sent.
    not_sent,
    /// The connection was closed after a part of the request may have been sent.
    lost,
    /// Bytes arrived that are not a reply to this request.
    malformed,
    /// No reply arrived in time, after a part of the request may have been sent.
    timed_out,
};

[[nodiscard]] constexpr std::string_view to_string(attempt_end end) {
    switch (end) {
        case attempt_end::replied:
            return "replied";
        case attempt_end::not_sent:
            return "not_sent";
        case attempt_end::lost:
            return "lost";
        case attempt_end::malformed:
            return "malformed";
        case attempt_end::timed_out:
            return "timed_out";
    }
    return "unknown";
}

struct attempt_result {
    attempt_end end = attempt_end::not_sent;
    /// Only meaningful if `end` is `replied`.
    backend_reply reply;
    friend auto operator<=>(const attempt_result&, const attempt_result&) = default;
};

}  // namespace poplarfront::gateway
