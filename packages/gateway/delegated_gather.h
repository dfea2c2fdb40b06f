#pragma once

#include <compare>
#include <cstdint>
#include <string>

#include "gateway/gateway_answer.h"
#include "kernel/concepts.h"

namespace poplarfront::gateway {

/// A gather that an instance delegates to another one, its delegate.
struct delegated_gather {
    /// Unique among the delegated gathers of all processes that have used the same `reply_to`,
    /// since a delegate may still report on a gather of a process that has ended.
    std::uint64_t number = 0;
    /// IP:PORT of the sender, for the reports.
    std::string reply_to;
    /// The sender's version. A delegate with another version refuses the gather, since its answer
    /// could be based on an older configuration than earlier answers of the sender.
    std::uint64_t configuration_version = 0;
    std::string request_id;
    std::string host;
    std::string target;
    std::uint64_t fingerprint = 0;
    /// Maximum number of backend servers that get the request, for each shard, once the gather is
    /// confirmed. Before that it is 1.
    std::uint32_t max_attempts = 1;
    /// Time from the sending of this message until an incomplete answer is given.
    kernel::duration time_to_partial_deadline{};
    /// Time from the sending of this message until the final answer is given.
    kernel::duration time_to_final_deadline{};
    /// The request as it is forwarded to backend servers.
    std::string head;
    std::string body;
    bool without_reply_body = false;
    friend auto operator<=>(const delegated_gather&, const delegated_gather&) = default;
};

/// Content of two messages:
/// - A warm-up belongs to no gather; its number is not used for any. It asks for a report, so that
///   connections in both directions are open before the first gather: opening them takes several
///   round trips between data centres.
/// - A confirmation tells a delegate that its first report has arrived. Before that, another
///   delegate may get the gather too, and both together have to stay within the maximum of
///   attempts.
struct delegated_gather_reference {
    std::uint64_t number = 0;
    /// IP:PORT of the sender, for the reports.
    std::string reply_to;
    friend auto operator<=>(const delegated_gather_reference&,
                            const delegated_gather_reference&) = default;
};

/// Cancels a delegated gather.
struct gather_cancel {
    std::uint64_t number = 0;
    std::string reply_to;
    /// Whether an expected report is missing. The connection that carries the reports may be broken
    /// without having been closed.
    bool reports_missed = false;
    friend auto operator<=>(const gather_cancel&, const gather_cancel&) = default;
};

/// The status of a delegated gather, as reported by the delegate.
struct gather_report {
    enum class gather_status {
        /// The gather is in progress; the next report follows within `next_report`.
        in_progress,
        /// The delegate does not run the gather.
        refused,
        answered,
    };
    std::uint64_t number = 0;
    gather_status status = gather_status::refused;
    kernel::duration next_report{};
    /// Delegated gathers in progress at the delegate, as a fraction of the maximum that it accepts.
    double load = 0;
    /// Only for answered.
    gateway_answer answer;
    /// Only for answered: whether the expiry of the partial deadline caused the answer.
    bool at_partial_deadline = false;
    friend auto operator<=>(const gather_report&, const gather_report&) = default;
};

}  // namespace poplarfront::gateway
