#include "gateway/extra_attempts.h"

#include <algorithm>

namespace poplarfront::gateway {

bool may_retry(const request_part& part, std::uint32_t max_attempts, retry_safety kind) {
    // Sends that were refused or not delivered do not count as attempts. The total number of sends
    // is limited too, so that a service at its limit is not sent the same request indefinitely.
    constexpr std::uint32_t sends_per_attempt = 2;
    return part.send_count - part.not_run_count < max_attempts &&
           part.send_count < max_attempts * sends_per_attempt &&
           (kind == retry_safety::safe || !part.may_have_run);
}

bool allows_extra(const retry::retry_budget& budget, const request_parts& parts,
                  std::size_t missing, kernel::time_point now) {
    return parts.can_succeed_without(missing) ? budget.available(now)
                                              : budget.available_reserved(now);
}

std::size_t needed_retries(const request_parts& parts) {
    const auto spare = parts.size() - parts.needed_count();
    const auto failed = parts.failed_count();
    return failed > spare ? failed - spare : 0;
}

std::vector<std::size_t> refused_parts_within_budget(
    const request_parts& parts, const budget_of_part& budget_of,
    const std::function<bool(const request_part&)>& may_be_sent, kernel::time_point now) {
    std::vector<std::size_t> within_budget;
    for (std::size_t it = 0; it < parts.size(); ++it) {
        if (parts[it].state == part_state::refused && may_be_sent(parts[it]) &&
            budget_of(parts[it]).available_reserved(now)) {
            within_budget.push_back(it);
        }
    }
    std::sort(within_budget.begin(), within_budget.end(), [&](auto a, auto b) {
        return budget_of(parts[a]).tokens() > budget_of(parts[b]).tokens();
    });
    return within_budget;
}

}  // namespace poplarfront::gateway
