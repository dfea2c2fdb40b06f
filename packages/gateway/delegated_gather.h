#pragma once

#include <compare>
#include <cstdint>
#include <string>

#include "gateway/gateway_answer.h"
#include "kernel/concepts.h"

namespace poplarfront::gateway {

/// Asks a delegate to gather for a client of another instance.
struct delegated_gather {
    /// Unique among the orders of one process of the sender.
    std::uint64_t number = 0;
    /// IP:PORT for the reports.
    std::string reply_to;
    /// Of the sender. A delegate with another one refuses, since its answer could be older than
    /// answers that the client's instance has given.
    std::uint64_t configuration_version = 0;
    std::string request_id;
    std::string host;
    std::string target;
    std::uint64_t fingerprint = 0;
    /// Backend servers that may get the request, for each shard, once the order is confirmed; one
    /// before that.
    std::uint32_t max_attempts = 1;
    /// How long from now an incomplete answer is given, and the final one.
    kernel::duration time_to_partial_deadline{};
    kernel::duration time_to_final_deadline{};
    /// The request as it is passed on to backend servers.
    std::string head;
    std::string body;
    bool without_reply_body = false;
    friend auto operator<=>(const delegated_gather&, const delegated_gather&) = default;
};

/// Names an order. As a greeting it names none yet, and asks for a report so that connections are
/// open both ways before the first order: opening them takes several ways between data centres. As
/// a confirmation it tells a delegate that its first report has arrived: before that another
/// instance may get the order too, and both together keep to the attempts of the route.
struct delegated_gather_reference {
    std::uint64_t number = 0;
    /// IP:PORT for the reports.
    std::string reply_to;
    friend auto operator<=>(const delegated_gather_reference&,
                            const delegated_gather_reference&) = default;
};

/// Withdraws an order.
struct gather_cancel {
    std::uint64_t number = 0;
    std::string reply_to;
    /// Whether reports were missed, maybe because the connection that carries them has fallen
    /// silent.
    bool reports_missed = false;
    friend auto operator<=>(const gather_cancel&, const gather_cancel&) = default;
};

/// What a delegate tells of an order.
struct gather_report {
    enum class gather_status {
        /// It is at work, and reports again within `next_report`.
        in_progress,
        /// It will not gather.
        refused,
        answered,
    };
    std::uint64_t number = 0;
    gather_status status = gather_status::refused;
    kernel::duration next_report{};
    /// Orders under way at the delegate, as a part of the most that it takes.
    double load = 0;
    /// Of answered: the answer, and whether it was given because its time had come.
    gateway_answer answer;
    bool at_partial_deadline = false;
    friend auto operator<=>(const gather_report&, const gather_report&) = default;
};

}  // namespace poplarfront::gateway
