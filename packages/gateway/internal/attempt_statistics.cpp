#include "gateway/attempt_statistics.h"

#include <algorithm>

namespace poplarfront::gateway {
namespace {

double load_of(const backend_reply& reply) {
    if (!reply.load) {
        return 0;
    }
    return static_cast<double>(reply.load->running + reply.load->waiting) / reply.load->slots;
}

}  // namespace

std::optional<std::string> attempt_statistics::on_result(const backend_attempt& attempt,
                                                         const attempt_result& result,
                                                         kernel::time_point now) {
    auto& replicas = state_.replicas();
    const auto& id = attempt.backend->id;
    const auto latency = now - attempt.sent_at;
    if (result.end != attempt_end::replied) {
        if (result.end == attempt_end::timed_out) {
            replicas.on_failed(id, now);
        } else {
            replicas.on_lost(id, now);
        }
        return record_failure(attempt, to_string(result.end));
    }
    state_.notices().on_reply(*attempt.backend, result.reply, now);
    if (result.reply.misdirected) {
        replicas.on_failed(id, now);
        replicas.mark_draining(id, now);
        return record_failure(attempt, "misdirected");
    }
    if (!result.reply.success()) {
        replicas.on_failed(id, now);
        return record_failure(attempt, result.reply.executed ? "failure_status" : "not_executed");
    }
    state_.counters().add("success");
    replicas.on_answered(id, normalised(latency), load_of(result.reply), now);
    state_.statistics_of(route_).on_latency(latency);
    return std::nullopt;
}

void attempt_statistics::on_overdue(const std::vector<backend_attempt>& attempts, std::size_t part,
                                    kernel::time_point now) {
    for (const auto& attempt : attempts) {
        if (attempt.open && attempt.part == part) {
            state_.replicas().on_overdue(attempt.backend->id, normalised(now - attempt.sent_at),
                                         now);
        }
    }
}

void attempt_statistics::on_cancelled(const backend_attempt& attempt, kernel::time_point now) {
    state_.replicas().on_cancelled(attempt.backend->id, normalised(now - attempt.sent_at), now);
}

kernel::duration attempt_statistics::median_latency() {
    return state_.statistics_of(route_).median_latency(kernel::duration::zero());
}

kernel::duration attempt_statistics::hedge_delay() {
    // While few latencies are known, connections are still being opened and a hedge would need
    // one more, so that half of the objective is used instead.
    constexpr int objective_divisor = 2;
    const auto& options = state_.options();
    const auto delay = state_.statistics_of(route_).hedge_delay(
        options.hedge_quantile, route_.objective / objective_divisor);
    return std::max(delay, options.min_hedge_delay);
}

kernel::duration attempt_statistics::normalised(kernel::duration latency) {
    constexpr kernel::duration reference = std::chrono::milliseconds{10};
    const auto median_latency = state_.statistics_of(route_).median_latency(latency);
    const double relative =
        static_cast<double>(latency.count()) /
        static_cast<double>(std::max<kernel::duration::rep>(1, median_latency.count()));
    return kernel::duration{
        static_cast<kernel::duration::rep>(relative * static_cast<double>(reference.count()))};
}

std::string attempt_statistics::record_failure(const backend_attempt& attempt,
                                               std::string_view failure) {
    state_.counters().add(failure);
    return std::string{failure} + "@" + attempt.backend->id.text();
}

}  // namespace poplarfront::gateway
