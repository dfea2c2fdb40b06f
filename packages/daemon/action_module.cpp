#include <spdlog/spdlog.h>

#include <chrono>
#include <future>
#include <memory>
#include <thread>
#include <vector>

#include "daemon/action_entry.h"
#include "daemon/action_home.h"
#include "daemon/entry_gates.h"
#include "daemon/forward_receiver.h"
#include "daemon/search_workers.h"
#include "kernel/module_registration.h"
#include "kernel/state_registry.h"
#include "runtime/http_client.h"
#include "runtime/route_table.h"
#include "runtime/thread_set.h"

namespace poplarfront::daemon {
namespace {

/// Serves `POST /v1/actions` and runs the actions for which this instance is the home.
class action_module {
public:
    static kernel::module_descriptor descriptor() {
        return {"actions",
                {"runtime", "instance", "tier_state", "peers", "store", "search", "admission",
                 "caller"},
                {},
                {"search"}};
    }

    static kernel::result<std::shared_ptr<action_module>> create(kernel::module_context& context) {
        auto module = std::make_shared<action_module>();
        module->threads_ = context.require<runtime::thread_set>();
        module->create_home(context);
        action_environment environment;
        environment.identity = context.require<const instance_identity>();
        environment.publisher = context.require<tier_state_publisher>();
        environment.link = context.require<peer_link>();
        environment.ids = context.require<request_ids>();
        environment.pending = std::make_shared<pending_forwards>();
        environment.home = module->loop_;
        module->receiver_ = std::make_shared<forward_receiver>(
            environment.link, environment.publisher, environment.pending, module->loop_);
        for (const auto& gate : context.require<entry_gates>()->gates) {
            module->entries_.push_back(std::make_shared<action_entry>(environment, gate));
        }
        module->connect(*environment.link, *context.require<runtime::caller_routes>());
        context.require<kernel::state_registry>()->add(
            "actions", [it = std::weak_ptr{module}] { return it.lock()->dump(); });
        return module;
    }

    kernel::result<void> start() {
        loop_->start(threads_->traffic.front());
        return {};
    }

    /// Callers are no longer served by now. Waits until the actions forwarded to this instance have
    /// ended and the ends of their claims are in the store.
    void stop() {
        // The longest deadline, and time to record the end of a claim.
        constexpr auto longest_wait = std::chrono::seconds{65};
        constexpr auto poll_interval = std::chrono::milliseconds{10};
        threads_->traffic.front()->run([this] { receiver_->close(); });
        const auto limit = std::chrono::steady_clock::now() + longest_wait;
        while (unfinished() > 0 && std::chrono::steady_clock::now() < limit) {
            std::this_thread::sleep_for(poll_interval);
        }
        if (const auto left = unfinished(); left > 0) {
            spdlog::warn("stopping with {} actions or ends of claims unfinished", left);
        }
        loop_->stop();
    }

private:
    void create_home(const kernel::module_context& context) {
        store::http_store_options options;
        options.address = context.process_settings().text("store", "address");
        home_ = action_home::create(
            context.require<search_workers>()->workers.front(),
            [publisher = context.require<tier_state_publisher>()] {
                return publisher->state().read();
            },
            store::http_store_client::create(
                runtime::http_client::create(threads_->traffic.front()), options));
        loop_ = create_loop(*home_);
    }

    void connect(peer_link& link, runtime::caller_routes& routes) const {
        link.on(wire::message_kind::action_forward,
                [it = receiver_](const wire::envelope& message) { it->on_forward(message); });
        link.on(wire::message_kind::action_result,
                [it = receiver_](const wire::envelope& message) { it->on_result(message); });
        routes.add("POST", "/v1/actions",
                   [entries = entries_](std::size_t thread, const runtime::http_request& request) {
                       return entries[thread]->serve(request);
                   });
    }

    /// Asks on the loop, so that actions posted before are counted.
    [[nodiscard]] std::size_t unfinished() const {
        std::promise<std::size_t> count;
        loop_->post([&count](action_home& home) { count.set_value(home.unfinished()); });
        return count.get_future().get();
    }

    [[nodiscard]] std::string dump() const {
        std::string entries;
        for (std::size_t i = 0; i < entries_.size(); ++i) {
            threads_->traffic[i]->run([&] { entries += (i > 0 ? "," : "") + entries_[i]->dump(); });
        }
        std::string home;
        threads_->traffic.front()->run(
            [&] { home = R"(,"forwards":)" + receiver_->dump() + R"(,"home":)" + home_->dump(); });
        return R"({"entries":[)" + entries + "]" + home + "}";
    }

    std::shared_ptr<runtime::thread_set> threads_;
    std::shared_ptr<action_home> home_;
    std::shared_ptr<action_loop> loop_;
    std::shared_ptr<forward_receiver> receiver_;
    std::vector<std::shared_ptr<action_entry>> entries_;
};

const kernel::module_registration<action_module> registration;

}  // namespace
}  // namespace poplarfront::daemon
