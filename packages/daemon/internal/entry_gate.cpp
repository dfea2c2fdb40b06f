#include "daemon/entry_gate.h"

#include <algorithm>

namespace poplarfront::daemon {
namespace {

admission::share to_share(const configuration::share& share, std::size_t max_waiting) {
    return {static_cast<double>(share.guaranteed_per_s), static_cast<double>(share.weight),
            static_cast<double>(std::max<std::uint32_t>(share.burst, 1)), max_waiting};
}

admission::share_table to_table(const configuration::shares& shares, std::size_t max_waiting) {
    admission::share_table table;
    table.shares.emplace(admission::share_key{}, to_share(configuration::share{}, max_waiting));
    for (const auto& [searcher, share] : shares.searchers) {
        table.shares.emplace(admission::share_key{searcher, std::nullopt},
                             to_share(share.total, max_waiting));
        for (const auto& [service, own] : share.services) {
            table.shares.emplace(admission::share_key{searcher, service},
                                 to_share(own, max_waiting));
        }
    }
    return table;
}

}  // namespace

void entry_gate::decisions::settle(std::uint64_t id, decision value) {
    const auto it = waiting_.find(id);
    if (it == waiting_.end()) {
        return;
    }
    const auto waiting = it->second;
    waiting_.erase(it);
    waiting->set_value(value);
}

entry_gate::entry_gate(std::size_t threads)
    : threads_(threads),
      gate_(clock_, decisions_, to_table({}, configuration::admission_policy{}.max_queued)) {}

std::optional<admission::refusal_reason> entry_gate::acquire(
    const model::searcher_id& searcher, std::span<const model::service_id> services,
    kernel::time_point deadline) {
    const auto id = ++last_id_;
    const auto waiting = std::make_shared<promise>();
    auto future = waiting->get_future();
    decisions_.add(id, waiting);
    gate_.on_request(searcher, services, {id, deadline});
    while (future.wait_until(std::min(deadline, gate_.next_timer())) !=
           boost::fibers::future_status::ready) {
        gate_.on_timer();
    }
    const auto decided = future.get();
    refused_ += decided ? 1 : 0;
    return decided;
}

void entry_gate::release(kernel::duration latency, bool shed) {
    gate_.on_end({latency, shed});
}

void entry_gate::release_unmeasured() {
    gate_.on_end_without_sample();
}

void entry_gate::apply(const configuration::configuration_snapshot& configuration,
                       std::size_t instances) {
    const auto parts = std::max<std::size_t>(instances, 1) * threads_;
    if (configuration.revision == revision_ && parts == parts_) {
        return;
    }
    revision_ = configuration.revision;
    parts_ = parts;
    const auto& limits = configuration.policy.admission;
    gate_.on_shares(to_table(configuration.shares, limits.max_queued / threads_).divided(parts));
    gate_.on_max_in_flight(static_cast<double>(limits.max_in_flight) /
                           static_cast<double>(threads_));
}

}  // namespace poplarfront::daemon
