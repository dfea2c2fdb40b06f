#include "proxy/request_log.h"

#include <spdlog/spdlog.h>

#include <chrono>

namespace poplarfront::proxy {
namespace {

double ms(kernel::duration span) {
    return std::chrono::duration<double, std::milli>(span).count();
}

std::string_view or_none(const std::string& text) {
    return text.empty() ? std::string_view{"none"} : std::string_view{text};
}

}  // namespace

void log_answer(const gateway::client_request& request, const gateway::route& route,
                const gateway::gateway_answer& answer, kernel::duration elapsed) {
    const auto& summary = answer.summary;
    spdlog::info(
        "event=answer request={} route={} outcome={} status={} reason=\"{}\" ms={:.1f} "
        "patience_ms={:.0f} objective_ms={:.0f} config={} shards={} covered={} attempts={} "
        "hedges={} retries={} over_budget={} last_failure={} gatherer={}",
        request.id, route.name, gateway::to_string(answer.kind), answer.reply.status, answer.reason,
        ms(elapsed), ms(request.client_timeout), ms(route.objective), summary.configuration_version,
        summary.shards, summary.covered, summary.attempts, summary.hedges, summary.retries,
        summary.over_budget, or_none(summary.last_failure), or_none(summary.delegate));
}

void log_delegated_gather_answered(const gateway::delegated_gather& gather,
                                   const std::string& sender,
                                   const gateway::gateway_answer& answer) {
    const auto& summary = answer.summary;
    spdlog::info(
        "event=order request={} from={} outcome={} reason=\"{}\" answer_ms={:.0f} config={} "
        "shards={} covered={} attempts={} hedges={} retries={} over_budget={} last_failure={}",
        gather.request_id, sender, gateway::to_string(answer.kind), answer.reason,
        ms(gather.time_to_partial_deadline), summary.configuration_version, summary.shards,
        summary.covered, summary.attempts, summary.hedges, summary.retries, summary.over_budget,
        or_none(summary.last_failure));
}

void log_delegated_gather_refused(const gateway::delegated_gather& gather,
                                  const std::string& sender, std::string_view reason) {
    spdlog::info("event=order request={} from={} outcome=refused reason=\"{}\" config={}",
                 gather.request_id, sender, reason, gather.configuration_version);
}

void log_attempt_lost(const gateway::client_request& request, const gateway::backend_entry& backend,
                      bool finished) {
    spdlog::info(
        "event=attempt_lost request={} fingerprint={:016x} server={} service={} after_answer={}",
        request.id, request.fingerprint, backend.id.text(), backend.service.text(), finished);
}

void log_probe_result(const gateway::client_request& request, const gateway::backend_entry& backend,
                      bool accepts_connections) {
    spdlog::info("event=probe request={} server={} service={} accepts_connections={}", request.id,
                 backend.id.text(), backend.service.text(), accepts_connections);
}

void log_backend_notice(const gateway::backend_notice& notice) {
    const auto pause =
        notice.paused_until ? *notice.paused_until - notice.received : kernel::duration::zero();
    spdlog::info("event=backend_notice server={} started_ms={} leaving={} pause_ms={:.0f}",
                 notice.server.text(), notice.started_ms, notice.leaving, ms(pause));
}

void log_client_disconnected(const gateway::client_request& request, const gateway::route& route,
                             const gateway::request_summary& summary, kernel::duration elapsed) {
    spdlog::info(
        "event=client_gone request={} route={} ms={:.1f} patience_ms={:.0f} config={} shards={} "
        "covered={} attempts={} last_failure={}",
        request.id, route.name, ms(elapsed), ms(request.client_timeout),
        summary.configuration_version, summary.shards, summary.covered, summary.attempts,
        or_none(summary.last_failure));
}

void log_refused(std::string_view id, unsigned status, std::string_view reason) {
    spdlog::info("event=refused request={} status={} reason=\"{}\"",
                 id.empty() ? std::string_view{"none"} : id, status, reason);
}

}  // namespace poplarfront::proxy
