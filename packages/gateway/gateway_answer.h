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
    /// A backend server's reply, forwarded unchanged.
    passed_on,
    /// The top records of the parts of a gather.
    gathered,
    /// The request has not run and will not; the client may send it again.
    not_run,
    /// A backend server may have run the request, and there is no reply that may be forwarded.
    failed,
    /// As `failed`, but because the final deadline has passed.
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

/// Summary of the processing of one request, for its log line.
struct request_summary {
    std::uint64_t configuration_version = 0;
    std::uint32_t shards = 0;
    std::uint32_t covered = 0;
    std::uint32_t attempts = 0;
    std::uint32_t hedges = 0;
    std::uint32_t retries = 0;
    /// Extra attempts that the retry budget did not allow.
    std::uint32_t over_budget = 0;
    /// The last failure of an attempt and the backend server, as FAILURE@SERVER.
    std::string last_failure;
    /// The delegate that ran the gather; empty if the instance that the client is connected to did.
    std::string delegate;
    friend auto operator<=>(const request_summary&, const request_summary&) = default;
};

/// The answer to a client's request.
struct gateway_answer {
    answer_kind kind = answer_kind::not_run;
    /// Only for passed_on.
    backend_reply reply;
    /// Only for gathered: the signatures of the parts.
    std::vector<std::string> signatures;
    /// Only for gathered: the number of shards without a part.
    std::uint32_t missing = 0;
    /// Only for gathered: the top records, in descending order.
    std::string records;
    /// Only for not_run: when the client may try again.
    kernel::duration retry_after{};
    /// Why the answer is not_run, failed or timed_out; for the log and the body of the answer.
    std::string reason;
    request_summary summary;
    friend auto operator<=>(const gateway_answer&, const gateway_answer&) = default;
};

}  // namespace poplarfront::gateway
