#pragma once

#include <compare>
#include <concepts>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <utility>

#include "gateway/backend_entry.h"
#include "gateway/backend_reply.h"
#include "kernel/concepts.h"

namespace poplarfront::gateway {

/// What one process of a backend server has announced in its replies. Immutable.
struct backend_notice {
    model::server_id server;
    /// Identifies the process, as `backend_entry::started_ms`.
    std::int64_t started_ms = 0;
    kernel::time_point received{};
    /// It is about to leave and wants no further requests.
    bool leaving = false;
    /// It wants no requests before this time.
    std::optional<kernel::time_point> paused_until;
    friend auto operator<=>(const backend_notice&, const backend_notice&) = default;
};

/// Which requests a backend server takes, by its own notices.
enum class backend_availability {
    /// Any number of requests.
    available,
    /// One request at a time. A reply has to show first that the announced pause is over.
    one_request,
    none,
};

/// Keeps the notices of backend servers. They apply to the process that gave them, however the
/// store describes it, and not to its successor.
///
/// Not thread-safe; each traffic thread has its own. Traffic threads share their notices by the
/// publication handler.
class backend_notices {
public:
    /// Called with each notice that arrives in a reply to this thread.
    using publication = std::function<void(const backend_notice&)>;

    /// Longer pauses are shortened to this time, so that an invalid value cannot exclude a backend
    /// server for ever.
    static constexpr kernel::duration max_pause = std::chrono::minutes{10};

    void set_publication(publication handler) { publication_ = std::move(handler); }

    /// Records the notice in a reply of a backend server, if there is one. A reply without one ends
    /// a pause whose time has passed.
    void on_reply(const backend_entry& backend, const backend_reply& reply, kernel::time_point now);

    /// Records a notice that another traffic thread has received.
    void on_notice(const backend_notice& notice);

    [[nodiscard]] backend_availability availability_of(const backend_entry& backend,
                                                       kernel::time_point now) const;

    /// When the announced pause of a backend server ends; absent if it is leaving or has announced
    /// none.
    [[nodiscard]] std::optional<kernel::time_point> paused_until(
        const backend_entry& backend) const;

    /// Removes old notices of backend servers for which `keep` returns false. Recent ones stay,
    /// since the registration of a live backend server may be missing for a while.
    template <std::predicate<const model::server_id&> Keep>
    void retain(const Keep& keep, kernel::time_point now) {
        std::erase_if(notices_, [&](const auto& it) {
            return now - it.second.received > max_pause && !keep(it.first);
        });
    }

private:
    [[nodiscard]] const backend_notice* notice_of(const backend_entry& backend) const;

    std::map<model::server_id, backend_notice> notices_;
    publication publication_;
};

}  // namespace poplarfront::gateway
