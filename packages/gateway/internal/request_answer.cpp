#include "gateway/request_answer.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "gateway/top_records.h"

namespace poplarfront::gateway {

bool is_final(const backend_reply& reply, const gather_plan* plan) {
    if (reply.success()) {
        return plan == nullptr || !reply.signature.empty();
    }
    constexpr unsigned first_server_error = 500;
    return plan == nullptr && reply.executed && reply.status < first_server_error;
}

void drop_surplus_records(backend_reply& reply, const gather_plan& plan) {
    constexpr std::size_t large_part_bytes = std::size_t{16} * 1024;
    if (reply.body.size() > large_part_bytes && reply.body.size() / record_bytes > plan.top_k) {
        reply.body = top_records({reply.body}, plan.top_k);
    }
}

gateway_answer gathered_answer(const request_parts& parts, const gather_plan& plan) {
    gateway_answer answer;
    answer.kind = answer_kind::gathered;
    std::vector<std::string_view> bodies;
    for (const auto& part : parts) {
        if (part.state == part_state::answered) {
            answer.signatures.push_back(part.reply->signature);
            bodies.emplace_back(part.reply->body);
        }
    }
    answer.missing = static_cast<std::uint32_t>(parts.size() - bodies.size());
    answer.records = top_records(bodies, plan.top_k);
    return answer;
}

gateway_answer forwarded_answer(backend_reply reply) {
    if (reply.executed && reply.status_implies_not_run) {
        return failed_answer(answer_kind::failed,
                             "the backend server failed after running the request");
    }
    gateway_answer answer;
    answer.kind = answer_kind::passed_on;
    answer.reply = std::move(reply);
    return answer;
}

gateway_answer refused_answer(std::string_view reason, kernel::duration min_wait,
                              const session_options& options,
                              kernel::seeded_random_source& random) {
    // After a longer wait, clients return over a longer time too.
    constexpr int spread_divisor = 4;
    const auto spread = std::max<kernel::duration>(
        options.max_retry_after - options.min_retry_after, min_wait / spread_divisor);
    gateway_answer answer;
    answer.kind = answer_kind::not_run;
    answer.reason = reason;
    answer.retry_after = std::max(min_wait, options.min_retry_after) +
                         kernel::duration{static_cast<kernel::duration::rep>(
                             kernel::uniform_unit(random) * static_cast<double>(spread.count()))};
    return answer;
}

gateway_answer failed_answer(answer_kind kind, std::string_view reason) {
    gateway_answer answer;
    answer.kind = kind;
    answer.reason = reason;
    return answer;
}

}  // namespace poplarfront::gateway
