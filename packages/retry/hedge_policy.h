#pragma once

#include <algorithm>
#include <map>

#include "kernel/concepts.h"
#include "model/identifier.h"
#include "retry/latency_quantile.h"

namespace poplarfront::retry {

struct hedge_policy_options {
    double quantile = 0.95;
    kernel::duration min_delay = std::chrono::milliseconds{1};
    kernel::duration max_delay = std::chrono::milliseconds{50};
    /// Used until enough latencies of the service are known.
    kernel::duration initial_delay = std::chrono::milliseconds{20};
};

/// Chooses how long to wait for a request before a second one is sent. Not thread-safe.
class hedge_policy {
public:
    explicit hedge_policy(hedge_policy_options options = {}) : options_(options) {}

    /// Takes the latency of a request that was answered. Cancelled requests are left out: they
    /// would raise the delay while one replica straggles.
    void observe(const model::service_id& service, kernel::duration latency) {
        latencies_[service].observe(latency);
    }

    [[nodiscard]] kernel::duration delay(const model::service_id& service) const {
        const auto it = latencies_.find(service);
        if (it == latencies_.end()) {
            return options_.initial_delay;
        }
        const auto observed = it->second.quantile(options_.quantile);
        return std::clamp(observed.value_or(options_.initial_delay), options_.min_delay,
                          options_.max_delay);
    }

private:
    hedge_policy_options options_;
    std::map<model::service_id, latency_quantile> latencies_;
};

}  // namespace poplarfront::retry
