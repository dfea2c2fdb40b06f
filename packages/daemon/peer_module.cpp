#include <boost/json.hpp>
#include <memory>

#include "daemon/peer_link.h"
#include "kernel/module_registration.h"
#include "kernel/state_registry.h"
#include "runtime/thread_set.h"

namespace poplarfront::daemon {
namespace {

/// Provides the messages between instances. It starts before the modules that send.
class peer_module {
public:
    static kernel::module_descriptor descriptor() { return {"peers", {"runtime", "instance"}, {}}; }

    static kernel::result<std::shared_ptr<peer_module>> create(kernel::module_context& context) {
        auto module = std::make_shared<peer_module>();
        module->link_ = std::make_shared<peer_link>(context.require<const instance_identity>());
        module->threads_ = context.require<runtime::thread_set>();
        context.provide(module->link_);
        context.require<kernel::state_registry>()->add("peers", [link = module->link_] {
            const auto transport = link->transport_counters();
            const auto count = link->count();
            return boost::json::serialize(
                boost::json::object{{"sent", transport.sent},
                                    {"sent_bytes", transport.sent_bytes},
                                    {"received", transport.received},
                                    {"received_bytes", transport.received_bytes},
                                    {"dropped", transport.dropped},
                                    {"oversized", transport.oversized},
                                    {"refused", count.refused},
                                    {"stale", count.stale}});
        });
        return module;
    }

    kernel::result<void> start() {
        return boost::leaf::try_handle_some(
            [&] { return link_->start(threads_->traffic.front()); },
            [](const runtime::listen_error& error) -> kernel::result<void> {
                return boost::leaf::new_error(
                    kernel::module_error{"peers", error.address + ": " + error.message});
            });
    }

    void stop() { link_->stop(); }

private:
    std::shared_ptr<peer_link> link_;
    std::shared_ptr<runtime::thread_set> threads_;
};

const kernel::module_registration<peer_module> registration;

}  // namespace
}  // namespace poplarfront::daemon
