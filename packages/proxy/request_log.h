#pragma once

#include <string>
#include <string_view>

#include "gateway/backend_entry.h"
#include "gateway/backend_notices.h"
#include "gateway/client_request.h"
#include "gateway/delegated_gather.h"
#include "gateway/gateway_answer.h"
#include "gateway/route.h"

namespace poplarfront::proxy {

/// Logs how a request was answered. Thread-safe.
void log_answer(const gateway::client_request& request, const gateway::route& route,
                const gateway::gateway_answer& answer, kernel::duration elapsed);

/// Logs a connection to `backend` that was lost while it may have been executing a request.
/// `finished`: the client was answered or had disconnected before. Thread-safe.
void log_attempt_lost(const gateway::client_request& request, const gateway::backend_entry& backend,
                      bool finished);

/// Logs whether `backend`, which lost the connection of a request, accepts new ones. Thread-safe.
void log_probe_result(const gateway::client_request& request, const gateway::backend_entry& backend,
                      bool accepts_connections);

/// Logs what a backend server has announced in a reply. Thread-safe.
void log_backend_notice(const gateway::backend_notice& notice);

/// Logs a request whose client disconnected before the answer. Thread-safe.
void log_client_disconnected(const gateway::client_request& request, const gateway::route& route,
                             const gateway::request_summary& summary, kernel::duration elapsed);

/// Log a gather that another instance has delegated to this one. Thread-safe.
void log_delegated_gather_answered(const gateway::delegated_gather& gather,
                                   const std::string& sender,
                                   const gateway::gateway_answer& answer);
void log_delegated_gather_refused(const gateway::delegated_gather& gather,
                                  const std::string& sender, std::string_view reason);

/// Logs a request that was refused without a session. `id` may be empty. Thread-safe.
void log_refused(std::string_view id, unsigned status, std::string_view reason);

}  // namespace poplarfront::proxy
