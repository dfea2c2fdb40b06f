#include "daemon/entry_gate.h"

#include <algorithm>

namespace poplarfront::daemon {
namespace {

/// Requests of one share that may wait on one instance.
constexpr std::size_t max_waiting = 256;

admission::share to_share(const configuration::share& share) {
    return {static_cast<double>(share.guaranteed_per_s), static_cast<double>(share.weight),
            static_cast<double>(std::max<std::uint32_t>(share.burst, 1)), max_waiting};
}

admission::share_table to_table(const configuration::shares& shares) {
    admission::share_table table;
    table.shares.emplace(admission::share_key{}, to_share(configuration::share{}));
    for (const auto& [searcher, share] : shares.searchers) {
        table.shares.emplace(admission::share_key{searcher, std::nullopt}, to_share(share.total));
        for (const auto& [service, own] : share.services) {
            table.shares.emplace(admission::share_key{searcher, service}, to_share(own));
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

entry_gate::entry_gate() : gate_(clock_, decisions_, to_table({})) {}

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
    gate_.on_end_unmeasured();
}

void entry_gate::apply(const configuration::configuration_snapshot& configuration,
                       std::size_t instances) {
    const auto parts = std::max<std::size_t>(instances, 1);
    if (configuration.revision == revision_ && parts == instances_) {
        return;
    }
    revision_ = configuration.revision;
    instances_ = parts;
    gate_.on_shares(to_table(configuration.shares).divided(parts));
}

}  // namespace poplarfront::daemon
