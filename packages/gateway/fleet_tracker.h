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
    /// Delay of a removal that may result from an outage of the store: backend servers whose
    /// registrations expired during the outage register again within about 2 s.
    kernel::duration removal_grace = std::chrono::milliseconds{2000};
    /// Limit of this delay if no store call has failed, counted from the time when the contents of
    /// the store were last known. Together with the delay of a reader, which may answer for the
    /// store as of 0.5 s before, it stays below the 3 s after which a departed backend server must
    /// not get requests any more.
    kernel::duration max_removal_delay = std::chrono::milliseconds{2250};
    /// How long after a failed store call a removal is attributed to an outage of the store.
    kernel::duration store_failure_window = std::chrono::seconds{4};
    /// An outage that this instance did not notice itself is detected by many removals within
    /// `mass_removal_window`. This is their minimum as a fraction of all backend servers in use.
    double mass_removal_min_fraction = 0.2;
    /// The minimum number of these removals.
    std::size_t mass_removal_min_count = 3;
    /// The time within which removals are counted together.
    kernel::duration mass_removal_window = std::chrono::milliseconds{1500};
    /// Minimum time that an instance is still counted after its registration was removed; the next
    /// take_view() after that drops it. An instance whose lease expired may still be running; if it
    /// were not counted, the shares of the common limits (see fleet_view) could add up to more than
    /// the limits.
    kernel::duration instance_retention = std::chrono::seconds{60};
};

/// Builds the fleet view from the contents of the store. An older configuration or registration of
/// a backend server never replaces a newer one, whatever the order of arrival. Changes of instances
/// are applied in order of arrival.
///
/// Not thread-safe; used by the control thread only.
class fleet_tracker {
public:
    explicit fleet_tracker(fleet_options options = {}) : options_(options) {}

    /// Applies a configuration. Returns false if the current one is at least as new.
    bool on_configuration(std::shared_ptr<const gateway_configuration> configuration);

    /// Whether a change of a backend server's registration at `revision` is newer than the known
    /// one. Other changes have no effect.
    [[nodiscard]] bool is_newer(const model::server_id& id, std::uint64_t revision) const;

    /// Applies a registration of a backend server, as of `revision` of the store.
    void on_backend(backend_entry entry, std::uint64_t revision);

    /// Handles an invalid registration, as of `revision`: removes the backend server with this id.
    void on_unusable_backend(const model::server_id& id, std::uint64_t revision);

    /// Handles the removal of a registration.
    void on_backend_removed(const model::server_id& id, std::uint64_t revision,
                            kernel::time_point now);

    /// Handles a complete listing that was started at `revision`: backend servers that it does not
    /// contain have been removed.
    void on_backends_listed(const std::set<model::server_id>& listed, std::uint64_t revision,
                            kernel::time_point now);

    /// Applies the registration of an instance.
    void on_instance(const registered_instance& instance);
    void on_instance_removed(const std::string& name, kernel::time_point now);
    /// Handles a complete listing: instances that it does not contain have been removed.
    void on_instances_listed(const std::set<std::string>& names, kernel::time_point now);

    /// Handles the result of a call to the store, or to an instance that reads the store for this
    /// one. If it was reached, all changes that were made before are known from now on. Changes
    /// that may be as old as the last successful call are therefore applied before this call.
    void on_store_result(bool reached, kernel::time_point now);
    /// Handles the end of updates by another instance, which has last confirmed its state with the
    /// store at `known_until`.
    void on_updates_interrupted(kernel::time_point known_until) {
        last_store_success_ = known_until;
    }

    /// Time of the next on_timer call; absent if none is needed.
    [[nodiscard]] std::optional<kernel::time_point> next_timer() const;
    void on_timer(kernel::time_point now);

    /// Whether the view has changed since the last call of take_view(). The end of an instance's
    /// retention is not included.
    [[nodiscard]] bool changed() const { return changed_; }
    /// Returns the current view and resets changed().
    fleet_view take_view(kernel::time_point now);

private:
    struct backend_row {
        /// Null if the registration was removed or is invalid.
        std::shared_ptr<const backend_entry> entry;
        std::uint64_t revision = 0;
        /// Start time of the process, from the newest registration; kept after its removal.
        std::int64_t started_ms = 0;
        /// Sequence number of the newest registration; kept after its removal.
        std::int64_t sequence = 0;
        /// When a delayed removal takes effect.
        std::optional<kernel::time_point> remove_at;
    };

    struct instance_row {
        registered_instance instance;
        std::optional<kernel::time_point> removed_at;
    };

    void select_delegates_for(fleet_view& view) const;
    /// Records a removal at `now`. Returns when it takes effect: later if the registration may have
    /// expired because of an outage of the store, since many registrations were removed within the
    /// window, or a store call failed recently.
    kernel::time_point record_removal(kernel::time_point now);
    /// Whether a registration was written before the newest one that is known, or is the one whose
    /// removal is known. A write whose reply was lost may be applied seconds later, even after the
    /// removal of the registration. An unknown start time counts as the oldest.
    static bool is_outdated(const backend_row& row, const backend_entry& entry);
    fleet_options options_;
    std::shared_ptr<const gateway_configuration> configuration_;
    std::map<model::server_id, backend_row> backend_rows_;
    std::shared_ptr<const std::set<model::service_id>> shards_;
    std::map<std::string, instance_row> instance_rows_;
    bool store_reached_ = false;
    std::optional<kernel::time_point> last_store_success_;
    std::optional<kernel::time_point> last_store_failure_;
    /// Times of the removals within the window.
    std::deque<kernel::time_point> recent_removals_;
    bool changed_ = false;
};

}  // namespace poplarfront::gateway
