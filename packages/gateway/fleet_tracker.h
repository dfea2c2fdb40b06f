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
    /// registrations expired during the outage register again within about 2 s. The delay and the
    /// propagation time of store changes together have to stay below the time after which a
    /// departed backend server must not get requests any more.
    kernel::duration removal_grace = std::chrono::milliseconds{2000};
    /// How long after a failed store call a removal is attributed to an outage of the store.
    kernel::duration store_failure_window = std::chrono::seconds{4};
    /// An outage that this instance did not notice itself is detected by many removals at once: at
    /// least this fraction of all backend servers, and at least this number, within the window.
    double mass_removal_min_fraction = 0.2;
    std::size_t mass_removal_min_count = 3;
    kernel::duration mass_removal_window = std::chrono::milliseconds{1500};
    /// How long an instance is still counted after its registration was removed. An instance whose
    /// lease expired may still be running; if it were not counted, the shares of the common limits
    /// could add up to more than the limits.
    kernel::duration instance_retention = std::chrono::seconds{60};
};

/// Builds the fleet view from the contents of the store. Data of an older revision never replaces
/// data of a newer one, whatever the order of arrival.
///
/// Not thread-safe; used by the control thread only.
class fleet_tracker {
public:
    explicit fleet_tracker(fleet_options options = {}) : options_(options) {}

    /// Applies a configuration. Returns false if the current one is at least as new.
    bool on_configuration(std::shared_ptr<const gateway_configuration> configuration);

    /// Applies a registration of a backend server, as of `revision` of the store.
    void on_backend(backend_entry entry, std::uint64_t revision);

    /// Handles a registration that describes no usable backend server, as of `revision`.
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
    /// one.
    void on_store_result(bool reached, kernel::time_point now);

    /// Time of the next on_timer call; absent if none is needed.
    [[nodiscard]] std::optional<kernel::time_point> next_timer() const;
    void on_timer(kernel::time_point now);

    /// Whether the view has changed since the last call of take_view.
    [[nodiscard]] bool changed() const { return changed_; }
    /// Returns the current view and resets changed().
    fleet_view take_view(kernel::time_point now);

private:
    struct backend_row {
        /// Null if the registration was removed or describes no usable backend server.
        std::shared_ptr<const backend_entry> entry;
        std::uint64_t revision = 0;
        /// Of the newest registration so far; kept after its removal.
        std::int64_t started_ms = 0;
        std::int64_t sequence = 0;
        /// When a delayed removal takes effect.
        std::optional<kernel::time_point> remove_at;
    };

    struct instance_row {
        registered_instance instance;
        std::optional<kernel::time_point> removed_at;
    };

    void select_delegates_for(fleet_view& view) const;
    /// Whether a registration that is removed at `now` may have expired because of an outage of the
    /// store: it is one of many removals, or follows a failed store call.
    bool may_have_expired_in_outage(kernel::time_point now);
    /// Whether a registration was written before the newest one that is known. A write whose reply
    /// was lost may be applied seconds later, even after the removal of the registration.
    static bool is_outdated(const backend_row& row, const backend_entry& entry);
    bool is_newer(const model::server_id& id, std::uint64_t revision) const;

    fleet_options options_;
    std::shared_ptr<const gateway_configuration> configuration_;
    std::map<model::server_id, backend_row> backend_rows_;
    std::shared_ptr<const std::set<model::service_id>> shards_;
    std::map<std::string, instance_row> instance_rows_;
    bool store_reached_ = false;
    std::optional<kernel::time_point> last_store_failure_;
    /// Times of the removals within the window.
    std::deque<kernel::time_point> recent_removals_;
    bool changed_ = false;
};

}  // namespace poplarfront::gateway
