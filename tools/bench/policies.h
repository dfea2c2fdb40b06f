#pragma once

#include <concepts>
#include <limits>

#include "admission/admission_controller.h"
#include "bench/baseline_batch.h"
#include "kernel/clock_and_random_sources.h"

namespace poplarfront::bench {

/// Starts every request at once. Has the interface of admission::admission_controller.
template <kernel::clock_source Clock, admission::admission_listener Output>
class open_admission {
public:
    open_admission(const Clock& /*clock*/, Output& output, const admission::share_table& /*table*/)
        : output_(output) {}

    void on_request(const model::searcher_id& /*searcher*/,
                    std::span<const model::service_id> /*services*/,
                    const admission::admission_request& request) {
        output_.start(request.id);
    }
    void on_end(const admission::limit_sample& /*sample*/) {}
    void on_timer() {}
    [[nodiscard]] kernel::time_point next_timer() const { return kernel::time_point::max(); }

private:
    Output& output_;
};

/// What is compared: the owner's call, admission, and the rules of the session.
template <class T>
concept search_policy = requires {
    { T::routing() } -> std::same_as<routing::routing_policy>;
    { T::batch_budget() } -> std::same_as<retry::retry_budget_options>;
    { T::resends } -> std::convertible_to<bool>;
    { T::limits_slots } -> std::convertible_to<bool>;
};

/// The decision code as it is deployed.
struct deployed_policy {
    template <class Clock, class Transport>
    using batch = routing::batch_call<Clock, Transport>;
    template <class Clock, class Output>
    using admission = admission::admission_controller<Clock, Output>;
    /// Whether late batches may go to another owner.
    static constexpr bool resends = true;
    /// Whether an owner keeps to its part of the slots; otherwise to its part of the connections.
    static constexpr bool limits_slots = true;
    static routing::routing_policy routing() { return {}; }
    static retry::retry_budget_options batch_budget() { return routing::batch_budget_options(); }
};
static_assert(search_policy<deployed_policy>);

/// The policy to compare with. Pins, restarts and merging are the same.
struct baseline_policy {
    template <class Clock, class Transport>
    using batch = baseline_batch<Clock, Transport>;
    template <class Clock, class Output>
    using admission = open_admission<Clock, Output>;
    static constexpr bool resends = false;
    static constexpr bool limits_slots = false;
    static routing::routing_policy routing() {
        routing::routing_policy policy;
        policy.min_shards_for_canary = std::numeric_limits<std::size_t>::max();
        policy.use_quarantine = false;
        return policy;
    }
    static retry::retry_budget_options batch_budget() {
        return {.steady_ratio = 0, .fault_ratio = 0, .burst = 0};
    }
};
static_assert(search_policy<baseline_policy>);

}  // namespace poplarfront::bench
