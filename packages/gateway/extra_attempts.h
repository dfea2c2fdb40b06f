#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <vector>

#include "gateway/request_parts.h"
#include "gateway/route.h"
#include "retry/retry_budget.h"

/// Which attempts beyond the first one of a part are allowed. All functions are thread-safe unless
/// their arguments are shared.
namespace poplarfront::gateway {

/// Whether a part may be sent again after a failed attempt, whatever the budget is.
[[nodiscard]] bool may_retry(const request_part& part, std::uint32_t max_attempts,
                             retry_safety kind);

/// Whether `budget` allows one more attempt. Its reserve may be used only if the request fails when
/// `missing` parts stay without a reply.
[[nodiscard]] bool allows_extra(const retry::retry_budget& budget, const request_parts& parts,
                                std::size_t missing, kernel::time_point now);

/// How many of the refused parts have to be answered for the minimum coverage.
[[nodiscard]] std::size_t needed_retries(const request_parts& parts);

/// The budget of a part, refilled up to now.
using budget_of_part = std::function<const retry::retry_budget&(const request_part&)>;

/// The indices of the refused parts that satisfy `may_be_sent` and whose budgets allow an attempt,
/// those with the fullest budgets first.
[[nodiscard]] std::vector<std::size_t> refused_parts_within_budget(
    const request_parts& parts, const budget_of_part& budget_of,
    const std::function<bool(const request_part&)>& may_be_sent, kernel::time_point now);

}  // namespace poplarfront::gateway
