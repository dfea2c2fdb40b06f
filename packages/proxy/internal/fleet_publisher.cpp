#include "proxy/fleet_publisher.h"

#include <spdlog/spdlog.h>

namespace poplarfront::proxy {

std::shared_ptr<fleet_publisher> fleet_publisher::create(
    const std::shared_ptr<runtime::fiber_thread>& control, gateway::fleet_options options) {
    return std::shared_ptr<fleet_publisher>(
        new fleet_publisher(control->context(), std::move(options)));
}

void fleet_publisher::apply(const tracker_update& update) {
    const auto now = kernel::time_point::clock::now();
    update(tracker_, now);
    publish(now);
    arm_timer();
}

void fleet_publisher::publish(kernel::time_point now) {
    if (!tracker_.changed()) {
        return;
    }
    auto next = tracker_.take_view(now);
    const auto before = view_->read();
    std::size_t backends = 0;
    for (const auto& [service, list] : next.backends) {
        backends += list.size();
    }
    spdlog::info(
        "event=fleet_changed config={} config_before={} backends={} instances={} gatherers={} "
        "current={}",
        next.configuration == nullptr ? 0 : next.configuration->version,
        before->configuration == nullptr ? 0 : before->configuration->version, backends,
        next.instances, next.delegates.size(), next.store_reached);
    view_->publish(std::move(next));
    if (on_published_) {
        on_published_();
    }
}

void fleet_publisher::arm_timer() {
    const auto next = tracker_.next_timer();
    if (!next || (timer_expiry_ && *timer_expiry_ <= *next)) {
        return;
    }
    timer_expiry_ = next;
    timer_.expires_at(*next);
    timer_.async_wait([self = shared_from_this()](const boost::system::error_code& ec) {
        if (!ec) {
            self->timer_expiry_.reset();
            self->apply([](auto& tracker, kernel::time_point now) { tracker.on_timer(now); });
        }
    });
}

}  // namespace poplarfront::proxy
