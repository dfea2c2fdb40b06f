#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "gateway/fleet_view.h"

namespace poplarfront::gateway {

struct fleet_options {
    std::string own_name;
    /// After an outage of the store, backend servers whose registrations lapsed meanwhile register
    /// again within about 2 s; until then a removal is not believed. It has to end, with the time
    /// that news take, within the time in which a backend server that leaves is left alone.
    kernel::duration removal_grace = std::chrono::milliseconds{2000};
    /// How long after trouble with the store a removal counts as a consequence of it.
    kernel::duration store_failure_window = std::chrono::seconds{4};
    /// An outage that an instance did not see shows in many removals at once: this part of all
    /// backend servers, and this number, within the window.
    double mass_removal_min_fraction = 0.2;
    std::size_t mass_removal_min_count = 3;
    kernel::duration mass_removal_window = std::chrono::milliseconds{1500};
    /// How long an instance is counted after its registration was removed. An instance whose lease
    /// lapsed may live on, and a share of a common limit that is too large breaks the limit.
    kernel::duration instance_retention = std::chrono::seconds{60};
};

/// Builds the fleet view from what the store holds. Older news never replaces newer news,
/// whatever the order of arrival.
///
/// Thread safety: none; it belongs to the control thread.
class fleet_tracker {
public:
    explicit fleet_tracker(fleet_options options = {}) : options_(options) {}

    /// Takes a configuration. False if one at least as new is already in force.
    bool on_configuration(std::shared_ptr<const gateway_configuration> configuration);

    /// Takes a registration as of `revision` of the store.
    void on_backend(backend_entry entry, std::uint64_t revision);

    /// Takes a registration that names no backend server to use, as of `revision`.
    void on_unusable_backend(const model::server_id& id, std::uint64_t revision);

    /// Takes the removal of a registration.
    void on_backend_removed(const model::server_id& id, std::uint64_t revision,
                            kernel::time_point now);

    /// Takes a complete listing that was begun at `revision`: what it does not name has been
    /// removed.
    void on_backends_listed(const std::set<model::server_id>& listed, std::uint64_t revision,
                            kernel::time_point now);

    /// Take the registrations of instances.
    void on_instance(const registered_instance& instance);
    void on_instance_removed(const std::string& name, kernel::time_point now);
    /// Takes a complete listing: instances that it does not name have been removed.
    void on_instances_listed(const std::set<std::string>& names, kernel::time_point now);

    /// Takes the result of a store call.
    void on_store_result(bool reached, kernel::time_point now);

    /// When on_timer is due.
    [[nodiscard]] std::optional<kernel::time_point> next_timer() const;
    void on_timer(kernel::time_point now);

    /// Whether the view has changed since the last call of take_view.
    [[nodiscard]] bool changed() const { return changed_; }
    /// The current view.
    fleet_view take_view(kernel::time_point now);

private:
    struct row {
        /// Null for a registration that names no backend server to use, or a removed one.
        std::shared_ptr<const backend_entry> entry;
        std::uint64_t revision = 0;
        /// Of the newest registration so far; they outlive its removal.
        std::int64_t started_ms = 0;
        std::int64_t sequence = 0;
        /// When a removal that follows an outage takes effect.
        std::optional<kernel::time_point> remove_at;
    };

    struct instance_row {
        registered_instance instance;
        std::optional<kernel::time_point> removed_at;
    };

    void select_delegates_for(fleet_view& view) const;
    /// Whether a removal at `now` is one of many, or follows trouble with the store.
    bool may_be_lapse(kernel::time_point now);
    /// Whether a registration was written before one that is known: a write whose answer was lost
    /// may be done seconds later, after the removal of the registration.
    static bool is_outdated(const row& row, const backend_entry& entry);
    bool is_newer(const model::server_id& id, std::uint64_t revision) const;

    fleet_options options_;
    std::shared_ptr<const gateway_configuration> configuration_;
    std::map<model::server_id, row> rows_;
    std::shared_ptr<const std::set<model::service_id>> shards_;
    std::map<std::string, instance_row> instances_;
    bool current_ = false;
    std::optional<kernel::time_point> last_trouble_;
    /// The times of removals in the window.
    std::deque<kernel::time_point> removals_;
    bool changed_ = false;
};

}  // namespace poplarfront::gateway
