#pragma once

#include <cstddef>
#include <map>
#include <string>

#include "gateway/store_update.h"
#include "kernel/clock_and_random_sources.h"

namespace poplarfront::gateway {

struct update_window_options {
    /// Maximum size in bytes of all updates in flight. An instance with 112 MB can hold them beside
    /// its own state and its requests. A larger update is sent alone.
    std::size_t max_bytes = std::size_t{16} * 1024 * 1024;
    /// An update that was not followed by another request for this long counts as received or lost.
    kernel::duration timeout = std::chrono::milliseconds{1000};
    /// How long the last update for an address is remembered, to detect that it was lost.
    kernel::duration retention = std::chrono::seconds{30};
};

/// Limits the updates of store contents that are on their way to other instances, so that many
/// followers, or one whose connection is stalled, cannot make an instance queue them without limit.
/// An update is in flight until its receiver sends a request with another position.
///
/// Not thread-safe; used by the control thread only.
class update_window {
public:
    /// What became of the last update for a receiver, as its next request shows.
    enum class last_update {
        /// It was received, or there is none.
        received,
        /// It is still in flight, so that the receiver has to ask again later.
        in_flight,
        /// It was lost and may still be queued.
        lost,
    };

    explicit update_window(update_window_options options = {}) : options_(options) {}

    /// Handles a request for an update from `address`, whose sender knows `known`. Unless the last
    /// update is still in flight, it does not count as such any more.
    last_update on_request(const std::string& address, const store_position& known,
                           kernel::time_point now);
    /// Adds an update of `bytes` as the reply to such a request. Returns false if too much is in
    /// flight; the receiver has to ask again later. Precondition: the last update for this receiver
    /// is not in flight.
    [[nodiscard]] bool try_add(const std::string& address, const store_position& known,
                               std::size_t bytes, kernel::time_point now);

    /// Size in bytes of all updates in flight.
    [[nodiscard]] std::size_t bytes_in_flight() const { return bytes_in_flight_; }

private:
    struct sent_update {
        store_position known;
        /// 0 if the update is not in flight any more.
        std::size_t bytes = 0;
        kernel::time_point sent_at;
    };

    /// Stops counting an update as in flight.
    void release(sent_update& update);
    void release_expired(kernel::time_point now);

    update_window_options options_;
    /// The last update for each address, also if it is not in flight any more.
    std::map<std::string, sent_update> last_updates_;
    std::size_t bytes_in_flight_ = 0;
};

}  // namespace poplarfront::gateway
