#pragma once

#include <memory>
#include <string>

#include "daemon/action_home.h"
#include "daemon/entry_gate.h"
#include "daemon/peer_link.h"
#include "daemon/pending_forwards.h"
#include "daemon/request_ids.h"
#include "daemon/tier_state_publisher.h"
#include "metrics/latency_histogram.h"
#include "runtime/http_types.h"

namespace poplarfront::daemon {

/// What the action entries of all traffic threads share.
struct action_environment {
    std::shared_ptr<const instance_identity> identity;
    std::shared_ptr<tier_state_publisher> publisher;
    std::shared_ptr<peer_link> link;
    std::shared_ptr<request_ids> ids;
    std::shared_ptr<pending_forwards> pending;
    std::shared_ptr<action_loop> home;
};

/// Serves callers' actions on one traffic thread.
///
/// Thread safety: used on fibers of its thread only.
class action_entry {
public:
    action_entry(action_environment environment, std::shared_ptr<entry_gate> gate)
        : environment_(std::move(environment)), gate_(std::move(gate)) {}

    /// Answers `POST /v1/actions`. Suspends the fiber until there is an outcome, at the latest
    /// shortly after the deadline.
    runtime::http_response serve(const runtime::http_request& request);

    /// The state as JSON.
    [[nodiscard]] std::string dump() const;

private:
    runtime::http_response admit(const model::action_request& action, const tier_state& state);
    runtime::http_response refuse(unsigned status, std::string_view type, std::string_view field,
                                  std::string_view message);
    model::action_outcome run(const model::action_request& action);
    model::action_outcome run_here(const model::action_request& action);
    model::action_outcome forward(const model::instance_info& home,
                                  const model::action_request& action);

    action_environment environment_;
    std::shared_ptr<entry_gate> gate_;
    kernel::steady_clock_source clock_;
    metrics::latency_histogram latency_;
    metrics::counter_set counts_;
};

}  // namespace poplarfront::daemon
