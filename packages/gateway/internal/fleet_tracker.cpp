#include "gateway/fleet_tracker.h"

#include <algorithm>
#include <utility>

#include "gateway/delegate_selection.h"

namespace poplarfront::gateway {
namespace {

/// Whether two registrations say the same. The end of the cold time is computed from what is left
/// of it at arrival, so that it varies a little.
bool is_same(const backend_entry& before, backend_entry after) {
    constexpr auto tolerance = std::chrono::seconds{1};
    if (after.cold_until - before.cold_until < tolerance &&
        before.cold_until - after.cold_until < tolerance) {
        after.cold_until = before.cold_until;
    }
    after.sequence = before.sequence;
    return before == after;
}

std::set<model::service_id> shards_of(const gateway_configuration& configuration) {
    std::set<model::service_id> shards;
    // Routes often share their list of shards.
    std::set<const void*> seen;
    for (const auto& route : configuration.routes) {
        const auto* plan = std::get_if<gather_plan>(&route.target);
        if (plan != nullptr && seen.insert(plan->shards.get()).second) {
            shards.insert(plan->shards->begin(), plan->shards->end());
        }
    }
    return shards;
}

}  // namespace

bool fleet_tracker::on_configuration(std::shared_ptr<const gateway_configuration> configuration) {
    if (configuration_ != nullptr && configuration->version <= configuration_->version) {
        return false;
    }
    configuration_ = std::move(configuration);
    shards_ = std::make_shared<const std::set<model::service_id>>(shards_of(*configuration_));
    changed_ = true;
    return true;
}

bool fleet_tracker::is_newer(const model::server_id& id, std::uint64_t revision) const {
    const auto it = rows_.find(id);
    return it == rows_.end() || revision > it->second.revision;
}

bool fleet_tracker::is_outdated(const row& row, const backend_entry& entry) {
    if (entry.started_ms != row.started_ms) {
        return entry.started_ms < row.started_ms;
    }
    const bool removed = row.entry == nullptr || row.remove_at.has_value();
    return entry.sequence < row.sequence ||
           (removed && entry.sequence > 0 && entry.sequence == row.sequence);
}

void fleet_tracker::on_backend(backend_entry entry, std::uint64_t revision) {
    if (!is_newer(entry.id, revision)) {
        return;
    }
    auto& row = rows_[entry.id];
    row.revision = revision;
    if (is_outdated(row, entry)) {
        return;
    }
    row.started_ms = entry.started_ms;
    row.sequence = entry.sequence;
    row.remove_at.reset();
    if (row.entry != nullptr && is_same(*row.entry, entry)) {
        return;
    }
    row.entry = std::make_shared<const backend_entry>(std::move(entry));
    changed_ = true;
}

void fleet_tracker::on_unusable_backend(const model::server_id& id, std::uint64_t revision) {
    if (is_newer(id, revision)) {
        auto& row = rows_[id];
        row.entry = nullptr;
        row.revision = revision;
        row.remove_at.reset();
        changed_ = true;
    }
}

bool fleet_tracker::may_be_lapse(kernel::time_point now) {
    removals_.push_back(now);
    while (now - removals_.front() > options_.mass_removal_window) {
        removals_.pop_front();
    }
    const auto in_use = static_cast<double>(std::count_if(
        rows_.begin(), rows_.end(), [](const auto& it) { return it.second.entry != nullptr; }));
    const auto removed = removals_.size();
    const bool many = removed >= options_.mass_removal_min_count &&
                      static_cast<double>(removed) >= options_.mass_removal_min_fraction * in_use;
    return many || (last_trouble_ && now - *last_trouble_ < options_.store_failure_window);
}

void fleet_tracker::on_backend_removed(const model::server_id& id, std::uint64_t revision,
                                       kernel::time_point now) {
    if (!is_newer(id, revision)) {
        return;
    }
    auto& row = rows_[id];
    row.revision = revision;
    if (row.entry != nullptr && row.entry->state == backend_state::ready && may_be_lapse(now)) {
        row.remove_at = now + options_.removal_grace;
        return;
    }
    row.entry = nullptr;
    row.remove_at.reset();
    changed_ = true;
}

void fleet_tracker::on_backends_listed(const std::set<model::server_id>& listed,
                                       std::uint64_t revision, kernel::time_point now) {
    std::vector<model::server_id> gone;
    for (const auto& [id, row] : rows_) {
        if (row.entry != nullptr && !row.remove_at && !listed.contains(id)) {
            gone.push_back(id);
        }
    }
    for (const auto& id : gone) {
        on_backend_removed(id, revision, now);
    }
}

void fleet_tracker::on_store_result(bool reached, kernel::time_point now) {
    if (!reached) {
        last_trouble_ = now;
    }
    changed_ = changed_ || current_ != reached;
    current_ = reached;
}

std::optional<kernel::time_point> fleet_tracker::next_timer() const {
    std::optional<kernel::time_point> next;
    for (const auto& [id, row] : rows_) {
        if (row.remove_at && (!next || *row.remove_at < *next)) {
            next = row.remove_at;
        }
    }
    return next;
}

void fleet_tracker::on_timer(kernel::time_point now) {
    for (auto& [id, row] : rows_) {
        if (row.remove_at && *row.remove_at <= now) {
            row.entry = nullptr;
            row.remove_at.reset();
            changed_ = true;
        }
    }
}

void fleet_tracker::on_instance(const registered_instance& instance) {
    auto& row = instances_[instance.name];
    changed_ = changed_ || row.removed_at || row.instance != instance;
    row = {instance, std::nullopt};
}

void fleet_tracker::on_instance_removed(const std::string& name, kernel::time_point now) {
    if (const auto it = instances_.find(name); it != instances_.end() && !it->second.removed_at) {
        it->second.removed_at = now;
        changed_ = true;
    }
}

void fleet_tracker::on_instances_listed(const std::set<std::string>& names,
                                        kernel::time_point now) {
    for (const auto& [name, row] : instances_) {
        if (!names.contains(name)) {
            on_instance_removed(name, now);
        }
    }
}

void fleet_tracker::select_delegates_for(fleet_view& view) const {
    std::vector<registered_instance> all;
    for (const auto& [name, row] : instances_) {
        all.push_back(row.instance);
    }
    auto choice = select_delegates(options_.own_name, all);
    view.shard_share = choice.share;
    view.shards = shards_;
    if (!choice.is_delegate) {
        std::erase_if(choice.delegates, [this](const auto& it) {
            return instances_.at(it.name).removed_at.has_value();
        });
        view.delegates = std::move(choice.delegates);
    }
}

fleet_view fleet_tracker::take_view(kernel::time_point now) {
    changed_ = false;
    std::erase_if(instances_, [&](const auto& it) {
        return it.second.removed_at && now - *it.second.removed_at > options_.instance_retention;
    });
    fleet_view view;
    view.configuration = configuration_;
    if (configuration_ != nullptr) {
        view.routes = route_index{configuration_};
    }
    for (const auto& [id, row] : rows_) {
        if (row.entry != nullptr && row.entry->state == backend_state::ready) {
            view.backends[row.entry->service].push_back(row.entry);
        }
    }
    view.instances = static_cast<std::uint32_t>(std::max<std::size_t>(1, instances_.size()));
    view.store_reached = current_;
    select_delegates_for(view);
    return view;
}

}  // namespace poplarfront::gateway
