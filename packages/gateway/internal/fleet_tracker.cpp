#include "gateway/fleet_tracker.h"

#include <algorithm>
#include <utility>

#include "gateway/delegate_selection.h"

namespace poplarfront::gateway {
namespace {

/// Whether two registrations are equal. Small differences of `cold_until` are ignored, since it is
/// computed at arrival from the remaining warm-up time. The sequence number is ignored too.
bool is_equivalent(const backend_entry& before, backend_entry after) {
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
    // Routes often share a list of shards; each list is read once.
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
    const auto it = backend_rows_.find(id);
    return it == backend_rows_.end() || revision > it->second.revision;
}

bool fleet_tracker::is_outdated(const backend_row& row, const backend_entry& entry) {
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
    auto& row = backend_rows_[entry.id];
    row.revision = revision;
    if (is_outdated(row, entry)) {
        return;
    }
    row.started_ms = entry.started_ms;
    row.sequence = entry.sequence;
    row.remove_at.reset();
    if (row.entry != nullptr && is_equivalent(*row.entry, entry)) {
        return;
    }
    row.entry = std::make_shared<const backend_entry>(std::move(entry));
    changed_ = true;
}

void fleet_tracker::on_unusable_backend(const model::server_id& id, std::uint64_t revision) {
    if (is_newer(id, revision)) {
        auto& row = backend_rows_[id];
        row.entry = nullptr;
        row.revision = revision;
        row.remove_at.reset();
        changed_ = true;
    }
}

kernel::time_point fleet_tracker::record_removal(kernel::time_point now) {
    recent_removals_.push_back(now);
    while (now - recent_removals_.front() > options_.mass_removal_window) {
        recent_removals_.pop_front();
    }
    if (last_store_failure_ && now - *last_store_failure_ < options_.store_failure_window) {
        return now + options_.removal_grace;
    }
    const auto in_use = static_cast<double>(
        std::count_if(backend_rows_.begin(), backend_rows_.end(),
                      [](const auto& it) { return it.second.entry != nullptr; }));
    const auto removed = recent_removals_.size();
    const bool many = removed >= options_.mass_removal_min_count &&
                      static_cast<double>(removed) >= options_.mass_removal_min_fraction * in_use;
    if (!many) {
        return now;
    }
    const auto last_known = last_store_success_.value_or(now);
    return std::min(now + options_.removal_grace, last_known + options_.max_removal_delay);
}

void fleet_tracker::on_backend_removed(const model::server_id& id, std::uint64_t revision,
                                       kernel::time_point now) {
    if (!is_newer(id, revision)) {
        return;
    }
    auto& row = backend_rows_[id];
    row.revision = revision;
    if (row.entry != nullptr && row.entry->state == backend_state::ready) {
        if (const auto remove_at = record_removal(now); remove_at > now) {
            row.remove_at = remove_at;
            return;
        }
    }
    row.entry = nullptr;
    row.remove_at.reset();
    changed_ = true;
}

void fleet_tracker::on_backends_listed(const std::set<model::server_id>& listed,
                                       std::uint64_t revision, kernel::time_point now) {
    std::vector<model::server_id> removed_ids;
    for (const auto& [id, row] : backend_rows_) {
        if (row.entry != nullptr && !row.remove_at && !listed.contains(id)) {
            removed_ids.push_back(id);
        }
    }
    for (const auto& id : removed_ids) {
        on_backend_removed(id, revision, now);
    }
}

void fleet_tracker::on_store_result(bool reached, kernel::time_point now) {
    (reached ? last_store_success_ : last_store_failure_) = now;
    changed_ = changed_ || store_reached_ != reached;
    store_reached_ = reached;
}

std::optional<kernel::time_point> fleet_tracker::next_timer() const {
    std::optional<kernel::time_point> next;
    for (const auto& [id, row] : backend_rows_) {
        if (row.remove_at && (!next || *row.remove_at < *next)) {
            next = row.remove_at;
        }
    }
    return next;
}

void fleet_tracker::on_timer(kernel::time_point now) {
    for (auto& [id, row] : backend_rows_) {
        if (row.remove_at && *row.remove_at <= now) {
            row.entry = nullptr;
            row.remove_at.reset();
            changed_ = true;
        }
    }
}

void fleet_tracker::on_instance(const registered_instance& instance) {
    auto& row = instance_rows_[instance.name];
    changed_ = changed_ || row.removed_at || row.instance != instance;
    row = {instance, std::nullopt};
}

void fleet_tracker::on_instance_removed(const std::string& name, kernel::time_point now) {
    if (const auto it = instance_rows_.find(name);
        it != instance_rows_.end() && !it->second.removed_at) {
        it->second.removed_at = now;
        changed_ = true;
    }
}

void fleet_tracker::on_instances_listed(const std::set<std::string>& names,
                                        kernel::time_point now) {
    for (const auto& [name, row] : instance_rows_) {
        if (!names.contains(name)) {
            on_instance_removed(name, now);
        }
    }
}

void fleet_tracker::select_delegates_for(fleet_view& view) const {
    std::vector<registered_instance> known_instances;
    for (const auto& [name, row] : instance_rows_) {
        known_instances.push_back(row.instance);
    }
    auto selection = select_delegates(options_.own_name, known_instances);
    view.shard_share = selection.share;
    view.shards = shards_;
    if (!selection.is_delegate) {
        std::erase_if(selection.delegates, [this](const auto& it) {
            return instance_rows_.at(it.name).removed_at.has_value();
        });
        view.delegates = std::move(selection.delegates);
    }
}

fleet_view fleet_tracker::take_view(kernel::time_point now) {
    changed_ = false;
    std::erase_if(instance_rows_, [&](const auto& it) {
        return it.second.removed_at && now - *it.second.removed_at > options_.instance_retention;
    });
    fleet_view view;
    view.configuration = configuration_;
    if (configuration_ != nullptr) {
        view.routes = route_index{configuration_};
    }
    for (const auto& [id, row] : backend_rows_) {
        if (row.entry != nullptr && row.entry->state == backend_state::ready) {
            view.backends[row.entry->service].push_back(row.entry);
        }
    }
    view.instances = static_cast<std::uint32_t>(std::max<std::size_t>(1, instance_rows_.size()));
    view.store_reached = store_reached_;
    select_delegates_for(view);
    return view;
}

}  // namespace poplarfront::gateway
