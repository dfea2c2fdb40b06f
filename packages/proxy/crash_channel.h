#pragma once

#include <functional>
#include <memory>

#include "gateway/crash_record.h"
#include "runtime/fiber_thread.h"

namespace poplarfront::proxy {

/// Passes changes of crash records and claims of trials from the traffic threads to the control
/// thread, which writes them to the store, and the common records in the other direction.
///
/// Thread safety: set_handlers() and on_table() are called before the modules are started; the
/// other members may be called on any thread.
class crash_channel {
public:
    using claim_reply = std::function<void(bool granted)>;

    /// Called on the control thread. `claim` calls its reply exactly once, on any thread.
    struct handlers {
        std::function<void(const gateway::crash_table_change&)> change;
        std::function<void(const gateway::crash_trial&, claim_reply)> claim;
    };

    using table_ptr = std::shared_ptr<const gateway::crash_table>;

    explicit crash_channel(std::shared_ptr<runtime::fiber_thread> control)
        : control_(std::move(control)) {}

    void set_handlers(handlers handlers) {
        handlers_ = std::make_shared<const crash_channel::handlers>(std::move(handlers));
    }

    /// `handler` is called by deliver().
    void on_table(std::function<void(const table_ptr&)> handler) {
        table_handler_ = std::move(handler);
    }

    /// Passes new common records to the traffic threads. Does nothing without a handler.
    void deliver(const table_ptr& table) const {
        if (table_handler_) {
            table_handler_(table);
        }
    }

    /// Precondition: the handlers have been set.
    void publish(const gateway::crash_table_change& change) const;
    /// Precondition: the handlers have been set. After a stop there may be no reply.
    void claim(const gateway::crash_trial& trial, claim_reply reply) const;

private:
    std::shared_ptr<runtime::fiber_thread> control_;
    std::shared_ptr<const handlers> handlers_;
    std::function<void(const table_ptr&)> table_handler_;
};

}  // namespace poplarfront::proxy
