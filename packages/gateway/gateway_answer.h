#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "gateway/backend_reply.h"
#include "kernel/concepts.h"

namespace poplarfront::gateway {

enum class answer_kind {
    /// A backend server's reply, unchanged.
    passed_on,
    /// The greatest records of the parts.
    gathered,
    /// The request has not run and will not; the client may send it again.
    not_run,
    /// A backend server may have run the request, and its reply is lost.
    failed,
    /// As failed, at the end of the time that the client waits.
    timed_out,
};

[[nodiscard]] constexpr std::string_view to_string(answer_kind kind) {
    switch (kind) {
        case answer_kind::passed_on:
            return "passed_on";
        case answer_kind::gathered:
            return "gathered";
        case answer_kind::not_run:
            return "not_run";
        case answer_kind::failed:
            return "failed";
        case answer_kind::timed_out:
            return "timed_out";
    }
    return "unknown";
}

/// What was done for one request, for its log line.
struct request_summary {
    std::uint64_t configuration_version = 0;
    std::uint32_t shards = 0;
    std::uint32_t covered = 0;
    std::uint32_t attempts = 0;
    std::uint32_t hedges = 0;
    std::uint32_t retries = 0;
    /// Further attempts that the budget did not allow.
    std::uint32_t over_budget = 0;
    /// The last failure of an attempt, with the backend server.
    std::string last_failure;
    /// The instance that gathered; empty if the client's instance did.
    std::string delegate;
    friend auto operator<=>(const request_summary&, const request_summary&) = default;
};

/// The answer to a client.
struct gateway_answer {
    answer_kind kind = answer_kind::not_run;
    /// Of passed_on.
    backend_reply reply;
    /// Of gathered: the signatures of the parts, the number of shards left out, and the records.
    std::vector<std::string> signatures;
    std::uint32_t missing = 0;
    std::string records;
    /// Of not_run: when the client may come again.
    kernel::duration retry_after{};
    /// Why, in words for the log and the body of a failure.
    std::string reason;
    request_summary summary;
    friend auto operator<=>(const gateway_answer&, const gateway_answer&) = default;
};

}  // namespace poplarfront::gateway
