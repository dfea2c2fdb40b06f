#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <set>

#include "gateway/fleet_view.h"
#include "gateway/traffic_state.h"
#include "kernel/published.h"
#include "metrics/latency_histogram.h"
#include "proxy/backend_pool.h"
#include "proxy/delegated_gather_table.h"
#include "runtime/fiber_thread.h"

namespace poplarfront::proxy {

/// State that the connections of one traffic thread share.
///
/// Thread safety: `thread`, `view` and `stopping` may be used on any thread, the rest on the
/// traffic thread only.
template <gateway_protocol Protocol>
struct traffic_context {
    traffic_context(std::shared_ptr<runtime::fiber_thread> traffic_thread,
                    std::shared_ptr<const kernel::published<gateway::fleet_view>> published_view,
                    gateway::session_options options, backend_pool_options pool_options,
                    std::uint64_t seed)
        : thread(std::move(traffic_thread)),
          view(std::move(published_view)),
          state(std::move(options), seed, kernel::time_point::clock::now()),
          pool(thread->context(), pool_options) {}

    std::shared_ptr<runtime::fiber_thread> thread;
    std::shared_ptr<const kernel::published<gateway::fleet_view>> view;
    gateway::traffic_state state;
    backend_pool<Protocol> pool;
    metrics::latency_histogram latencies;
    /// Number of requests by kind of answer, by status if no session was started, or `client_gone`.
    /// Invalid requests are not counted.
    metrics::counter_set answers;
    /// Backend servers of the view that was applied last.
    std::set<model::server_id> known_backends;
    std::atomic<bool> stopping = false;
    /// During a stop: whether requests that are read from now on are refused. They might not be
    /// answered before the process has to end.
    bool refuses_requests = false;
    std::size_t open_requests = 0;
    /// Number of gathers that this thread is executing for other instances.
    std::size_t open_delegated_gathers = 0;
    /// Null if delegation is not enabled.
    std::unique_ptr<delegated_gather_table> delegated_gathers;

    /// Applies a new view: open requests no longer use backend servers that it does not contain,
    /// and idle connections to these are closed. Opens connections to new delegates. Runs on the
    /// traffic thread.
    void on_view_published() {
        const auto now = kernel::time_point::clock::now();
        const auto current = view->read();
        std::set<model::server_id> known;
        for (const auto& [service, backends] : current->backends) {
            for (const auto& backend : backends) {
                known.insert(backend->id);
                if (!known_backends.contains(backend->id)) {
                    state.replicas().clear_draining(backend->id);
                }
            }
        }
        for (const auto& id : known_backends) {
            if (!known.contains(id)) {
                state.replicas().mark_draining(id, now);
            }
        }
        known_backends = std::move(known);
        state.notices().retain([&](const auto& it) { return known_backends.contains(it); }, now);
        if (delegated_gathers != nullptr) {
            std::set<std::string> addresses;
            for (const auto& it : current->delegates) {
                addresses.insert(it.address);
            }
            delegated_gathers->warm_up_connections(addresses);
        }
        pool.retain_idle([&](const model::server_id& id) { return known_backends.contains(id); });
    }
};

}  // namespace poplarfront::proxy
