#pragma once

#include <memory>
#include <string>
#include <string_view>

#include "at_most_once/forward_deduplicator.h"
#include "daemon/action_home.h"
#include "daemon/peer_link.h"
#include "daemon/pending_forwards.h"
#include "daemon/tier_state_publisher.h"

namespace poplarfront::daemon {

/// The reason of a home that refused a forward before it claimed anything. The entry instance may
/// then act as home, since repeats of the forward are dropped.
inline constexpr std::string_view home_refused_reason = "home_refused";

/// Takes forwarded actions and their results from other instances.
///
/// Thread safety: used on the first traffic thread, where the peer link calls its handlers.
class forward_receiver {
public:
    forward_receiver(std::shared_ptr<peer_link> link,
                     std::shared_ptr<tier_state_publisher> publisher,
                     std::shared_ptr<pending_forwards> pending, std::shared_ptr<action_loop> home);

    /// Runs a forwarded action here, unless it was seen before or this instance cannot run it.
    void on_forward(const wire::envelope& message);
    void on_result(const wire::envelope& message);

    /// Refuses all later forwards.
    void close() { closed_ = true; }

    /// The state as JSON.
    [[nodiscard]] std::string dump() const;

private:
    [[nodiscard]] bool can_run(const tier_state& state) const;

    std::shared_ptr<peer_link> link_;
    std::shared_ptr<tier_state_publisher> publisher_;
    std::shared_ptr<pending_forwards> pending_;
    std::shared_ptr<action_loop> home_;
    at_most_once::forward_deduplicator seen_;
    bool closed_ = false;
    metrics::counter_set counts_;
};

}  // namespace poplarfront::daemon
