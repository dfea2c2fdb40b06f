#include <spdlog/spdlog.h>

#include <boost/fiber/operations.hpp>
#include <boost/json.hpp>
#include <memory>

#include "configuration/store_reader.h"
#include "daemon/configuration_agent.h"
#include "daemon/membership_agent.h"
#include "kernel/module_registration.h"
#include "kernel/state_registry.h"
#include "runtime/route_table.h"
#include "runtime/state_machine_loop.h"
#include "runtime/thread_set.h"
#include "store/http_store_client.h"
#include "wire/configuration_codec.h"
#include "wire/instance_list.h"

namespace poplarfront::daemon {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using configuration_loop = runtime::state_machine_loop<configuration_agent>;
using membership_loop = runtime::state_machine_loop<membership_agent>;
using reader_type =
    configuration::store_reader<store::http_store_client, wire::configuration_store_codec>;

constexpr auto store_call_limit = milliseconds{1000};
/// A stop waits for the open watch, so it is short.
constexpr auto watch_limit = seconds{2};
constexpr auto retry_delay = milliseconds{500};
constexpr auto instance_list_poll_interval = seconds{5};

kernel::time_point in(kernel::duration wait) {
    return std::chrono::steady_clock::now() + wait;
}

/// Reads the store on fibers of the control thread and passes what it finds to the loops.
class store_follower : public std::enable_shared_from_this<store_follower> {
public:
    store_follower(std::shared_ptr<runtime::fiber_thread> thread,
                   std::shared_ptr<store::http_store_client> client,
                   model::deployment_id deployment)
        : thread_(std::move(thread)),
          client_(std::move(client)),
          deployment_(std::move(deployment)),
          reader_(*client_, {}, deployment_) {}

    void start(std::shared_ptr<configuration_loop> configuration,
               std::shared_ptr<membership_loop> membership) {
        configuration_ = std::move(configuration);
        membership_ = std::move(membership);
        thread_->spawn([self = shared_from_this()] { self->follow_head(); });
        thread_->spawn([self = shared_from_this()] { self->follow_instance_list(); });
    }

    void stop() { stopping_ = true; }

    void watch_head(bool watching) { watching_ = watching; }

    void read_section(const std::string& name, const configuration::section_head& section) {
        thread_->spawn([self = shared_from_this(), name, section] {
            const auto reading = self->reader_.read_text(name, section, in(store_call_limit));
            if (!reading.text) {
                spdlog::warn("section {} cannot be read: {}", name, reading.reason);
                return;
            }
            const configuration::section_content content{self->deployment_, name, section.revision,
                                                         *reading.text};
            self->configuration_->post(
                [content](configuration_agent& agent) { agent.on_content(content); });
        });
    }

private:
    /// Reads the head once, and watches it while this instance is a relay.
    void follow_head() {
        take(reader_.read_head(in(store_call_limit)));
        while (!stopping_) {
            if (!watching_) {
                boost::this_fiber::sleep_for(retry_delay);
                continue;
            }
            const auto outcome = client_->watch(configuration::head_key, version_, in(watch_limit));
            if (outcome.status == store::store_status::ok && outcome.value.version == version_) {
                continue;
            }
            if (!take(reader_.interpret(outcome))) {
                boost::this_fiber::sleep_for(retry_delay);
            }
        }
    }

    bool take(const configuration::head_read_result& reading) {
        if (!reading.head) {
            spdlog::warn("the configuration cannot be read: {}", reading.reason);
            return false;
        }
        version_ = reading.version;
        configuration_->post(
            [head = *reading.head](configuration_agent& agent) { agent.on_store_head(head); });
        return true;
    }

    /// Relays alone read the list, so that its reads do not grow with the number of instances.
    void follow_instance_list() {
        auto next = std::chrono::steady_clock::now();
        while (!stopping_) {
            if (std::chrono::steady_clock::now() < next) {
                boost::this_fiber::sleep_for(retry_delay);
                continue;
            }
            next = in(instance_list_poll_interval);
            if (watching_) {
                read_instance_list();
            }
        }
    }

    void read_instance_list() {
        const auto outcome = client_->read(wire::instance_list_key, in(store_call_limit));
        if (outcome.status != store::store_status::ok || outcome.value.version == 0) {
            return;
        }
        const auto entries = wire::decode_instance_list(outcome.value.bytes);
        if (!entries) {
            spdlog::warn("the platform's list of instances is malformed");
            return;
        }
        membership_->post([entries = entries.value()](membership_agent& agent) {
            agent.on_instance_list(entries);
        });
    }

    std::shared_ptr<runtime::fiber_thread> thread_;
    std::shared_ptr<store::http_store_client> client_;
    model::deployment_id deployment_;
    reader_type reader_;
    std::shared_ptr<configuration_loop> configuration_;
    std::shared_ptr<membership_loop> membership_;
    std::uint64_t version_ = 0;
    bool watching_ = false;
    bool stopping_ = false;
};

/// Runs the configuration on the control thread and serves its operator routes.
class configuration_module {
public:
    static kernel::module_descriptor descriptor() {
        return {"configuration",
                {"runtime", "instance", "peers", "tier_state", "store", "membership"},
                {},
                {"search"}};
    }

    static kernel::result<std::shared_ptr<configuration_module>> create(
        kernel::module_context& context) {
        auto module = std::make_shared<configuration_module>();
        const auto identity = context.require<const instance_identity>();
        const auto link = context.require<peer_link>();
        const auto publisher = context.require<tier_state_publisher>();
        module->threads_ = context.require<runtime::thread_set>();
        module->membership_ = context.require<membership_loop>();
        module->follower_ = std::make_shared<store_follower>(
            module->threads_->control, context.require<store::http_store_client>(),
            identity->deployment);
        const configuration_store_port port{
            [follower = module->follower_](bool watching) { follower->watch_head(watching); },
            [follower = module->follower_](const auto& name, const auto& section) {
                follower->read_section(name, section);
            }};
        module->agent_ = std::make_shared<configuration_agent>(*identity, link, publisher, port);
        module->loop_ = configuration_loop::create(*module->agent_);
        module->connect(*link, *publisher);
        module->add_routes(*context.require<runtime::operator_routes>());
        context.require<kernel::state_registry>()->add(
            "configuration", [agent = module->agent_] { return to_json(*agent); });
        return module;
    }

    kernel::result<void> start() {
        loop_->start(threads_->control);
        follower_->start(loop_, membership_);
        return {};
    }

    void stop() {
        threads_->control->run([this] { follower_->stop(); });
        loop_->stop();
    }

private:
    void connect(peer_link& link, tier_state_publisher& publisher) {
        link.on(wire::message_kind::configuration, [loop = loop_](const wire::envelope& envelope) {
            loop->post([envelope](configuration_agent& agent) { agent.on_message(envelope); });
        });
        publisher.listen([loop = loop_](const model::instance_view& view) {
            loop->post([view](configuration_agent& agent) { agent.on_instances(view); });
        });
    }

    void add_routes(runtime::operator_routes& routes) {
        routes.add("GET", "/v1/config/status", [agent = agent_](const runtime::http_request&) {
            return runtime::http_response{200, wire::encode_status(agent->status())};
        });
        routes.add("POST", "/v1/config/announce",
                   [loop = loop_](const runtime::http_request& request) {
                       return take_announcement(*loop, request.body);
                   });
    }

    static runtime::http_response take_announcement(configuration_loop& loop,
                                                    const std::string& body) {
        constexpr unsigned accepted = 202;
        constexpr unsigned bad_request = 400;
        const auto announcement = wire::decode_announcement(body);
        if (!announcement) {
            return {bad_request,
                    R"({"error":{"type":"bad_announcement","field":"","message":"malformed"}})"};
        }
        loop.post([announcement = announcement.value()](configuration_agent& agent) {
            agent.on_announcement(announcement);
        });
        return {accepted, "{}"};
    }

    static std::string to_json(const configuration_agent& agent) {
        const auto counts = agent.counts();
        return boost::json::serialize(
            boost::json::object{{"revision", agent.status().revision.value},
                                {"relay", agent.is_relay()},
                                {"digests", counts.pulls},
                                {"pushes", counts.pushes},
                                {"replies", counts.replies},
                                {"fetches", counts.fetches},
                                {"refused", counts.refused}});
    }

    std::shared_ptr<runtime::thread_set> threads_;
    std::shared_ptr<membership_loop> membership_;
    std::shared_ptr<store_follower> follower_;
    std::shared_ptr<configuration_agent> agent_;
    std::shared_ptr<configuration_loop> loop_;
};

const kernel::module_registration<configuration_module> registration;

}  // namespace
}  // namespace poplarfront::daemon
