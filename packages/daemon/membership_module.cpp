#include <boost/json.hpp>
#include <memory>

#include "daemon/membership_agent.h"
#include "kernel/module_registration.h"
#include "kernel/state_registry.h"
#include "runtime/state_machine_loop.h"
#include "runtime/thread_set.h"

namespace poplarfront::daemon {
namespace {

/// Runs the membership on the control thread.
class membership_module {
public:
    static kernel::module_descriptor descriptor() {
        return {"membership",
                {"runtime", "instance", "peers", "tier_state"},
                {{"peers", "seeds", kernel::setting_kind::list, 0, 0, "",
                  "NAME@IP:PORT of instances to contact first"}},
                {"search"}};
    }

    static kernel::result<std::shared_ptr<membership_module>> create(
        kernel::module_context& context) {
        auto module = std::make_shared<membership_module>();
        const auto identity = context.require<const instance_identity>();
        const auto link = context.require<peer_link>();
        const auto publisher = context.require<tier_state_publisher>();
        BOOST_LEAF_ASSIGN(module->seeds_,
                          parse_seeds(context.process_settings().list("peers", "seeds")));
        module->threads_ = context.require<runtime::thread_set>();
        module->agent_ = std::make_shared<membership_agent>(*identity, link, publisher);
        module->loop_ = loop_type::create(*module->agent_);
        context.provide(module->loop_);
        link->on(
            wire::message_kind::membership, [loop = module->loop_](const wire::envelope& envelope) {
                loop->post([envelope](membership_agent& agent) { agent.on_message(envelope); });
            });
        publisher->listen(
            [loop = module->loop_](const tier_state_publisher::snapshot_pointer& snapshot) {
                loop->post([snapshot](membership_agent& agent) {
                    agent.on_leaving_section(snapshot->leaving.instances);
                });
            });
        context.require<kernel::state_registry>()->add(
            "membership", [agent = module->agent_] { return to_json(agent->counters()); });
        return module;
    }

    kernel::result<void> start() {
        loop_->start(threads_->control);
        loop_->post([seeds = seeds_](membership_agent& agent) {
            agent.on_instance_list(seeds);
            agent.announce();
        });
        return {};
    }

    void begin_stop() {
        loop_->post([](membership_agent& agent) { agent.leave(); });
    }

    void stop() { loop_->stop(); }

private:
    using loop_type = runtime::state_machine_loop<membership_agent>;

    static kernel::result<std::vector<membership::instance_list_entry>> parse_seeds(
        const std::vector<std::string>& texts) {
        std::vector<membership::instance_list_entry> seeds;
        for (const auto& text : texts) {
            const auto at = text.find('@');
            if (at == std::string::npos || !model::is_identifier(text.substr(0, at))) {
                return boost::leaf::new_error(kernel::module_error{
                    "membership", "[peers] seeds: \"" + text + "\" is not NAME@IP:PORT"});
            }
            membership::instance_list_entry entry;
            entry.row.instance = model::instance_id::trusted(text.substr(0, at));
            entry.row.data_centre = model::data_centre_id::trusted("unknown");
            entry.row.peer_address = text.substr(at + 1);
            seeds.push_back(std::move(entry));
        }
        return seeds;
    }

    static std::string to_json(const membership::member_counters& it) {
        return boost::json::serialize(boost::json::object{{"stale_messages", it.stale_messages},
                                                          {"stale_updates", it.stale_updates},
                                                          {"suspicions", it.suspicions},
                                                          {"failures", it.failures},
                                                          {"refutations", it.refutations},
                                                          {"pushes", it.pushes}});
    }

    std::vector<membership::instance_list_entry> seeds_;
    std::shared_ptr<runtime::thread_set> threads_;
    std::shared_ptr<membership_agent> agent_;
    std::shared_ptr<loop_type> loop_;
};

const kernel::module_registration<membership_module> registration;

}  // namespace
}  // namespace poplarfront::daemon
