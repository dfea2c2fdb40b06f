#pragma once

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <utility>

#include "gateway/fleet_tracker.h"
#include "kernel/published.h"
#include "runtime/fiber_thread.h"

namespace poplarfront::proxy {

/// Owns the fleet tracker on the control thread and publishes its view after each change.
///
/// Thread safety: `view` may be called from any thread, `apply` on the control thread only.
class fleet_publisher : public std::enable_shared_from_this<fleet_publisher> {
public:
    using tracker_update = std::function<void(gateway::fleet_tracker&, kernel::time_point)>;
    using view_ptr = std::shared_ptr<const kernel::published<gateway::fleet_view>>;

    static std::shared_ptr<fleet_publisher> create(
        const std::shared_ptr<runtime::fiber_thread>& control, gateway::fleet_options options);

    [[nodiscard]] view_ptr view() const { return view_; }

    /// Applies an update to the tracker and publishes the view if it has changed.
    void apply(const tracker_update& update);

    /// `handler` is called on the control thread after each publication. Precondition: the modules
    /// have not been started.
    void on_published(std::function<void()> handler) { on_published_ = std::move(handler); }

    /// Precondition: `apply` is not called any more.
    void stop() { timer_.cancel(); }

private:
    fleet_publisher(boost::asio::io_context& context, gateway::fleet_options options)
        : tracker_(std::move(options)), timer_(context) {}

    void publish(kernel::time_point now);
    void arm_timer();

    gateway::fleet_tracker tracker_;
    boost::asio::steady_timer timer_;
    std::optional<kernel::time_point> timer_expiry_;
    std::shared_ptr<kernel::published<gateway::fleet_view>> view_ =
        std::make_shared<kernel::published<gateway::fleet_view>>(gateway::fleet_view{});
    std::function<void()> on_published_;
};

}  // namespace poplarfront::proxy
