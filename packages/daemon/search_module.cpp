#include <spdlog/spdlog.h>

#include <algorithm>
#include <chrono>
#include <map>
#include <memory>
#include <thread>
#include <vector>

#include "daemon/membership_agent.h"
#include "daemon/search_workers.h"
#include "kernel/module_registration.h"
#include "kernel/state_registry.h"
#include "runtime/state_machine_loop.h"
#include "runtime/thread_set.h"
#include "wire/traffic_codec.h"

namespace poplarfront::daemon {
namespace {

using membership_loop = runtime::state_machine_loop<membership_agent>;

/// Executes sub-query batches of other instances, and provides the workers that execute searches.
class search_module {
public:
    static kernel::module_descriptor descriptor() {
        return {
            "search", {"runtime", "instance", "tier_state", "peers", "membership"}, {}, {"search"}};
    }

    static kernel::result<std::shared_ptr<search_module>> create(kernel::module_context& context) {
        auto module = std::make_shared<search_module>();
        module->link_ = context.require<peer_link>();
        module->publisher_ = context.require<tier_state_publisher>();
        module->pending_ = std::make_shared<pending_batches>();
        module->workers_ = std::make_shared<search_workers>();
        const auto membership = context.require<membership_loop>();
        const auto threads = context.require<runtime::thread_set>();
        search_environment environment;
        environment.identity = context.require<const instance_identity>();
        environment.state = [publisher = module->publisher_] { return publisher->state().read(); };
        environment.link = module->link_;
        environment.pending = module->pending_;
        environment.threads = threads->traffic.size();
        environment.on_draining = [membership](const model::server_id& server) {
            membership->post([server](membership_agent& it) { it.on_draining_seen(server); });
        };
        environment.on_quarantined = [membership](routing::query_fingerprint query) {
            membership->post([query](membership_agent& it) { it.on_quarantined(query); });
        };
        for (const auto& thread : threads->traffic) {
            module->workers_->workers.push_back(search_worker::create(thread, environment));
        }
        context.provide(module->workers_);
        module->membership_ = membership;
        module->connect(membership);
        context.require<kernel::state_registry>()->add(
            "search", [workers = module->workers_] { return dump(*workers); });
        return module;
    }

    kernel::result<void> start() { return {}; }

    /// Waits for the batches of other instances that are under way.
    void stop() {
        constexpr auto longest_wait = std::chrono::seconds{60};
        constexpr auto poll_interval = std::chrono::milliseconds{10};
        const auto limit = std::chrono::steady_clock::now() + longest_wait;
        while (in_flight() > 0 && std::chrono::steady_clock::now() < limit) {
            std::this_thread::sleep_for(poll_interval);
        }
    }

private:
    void connect(const std::shared_ptr<membership_loop>& membership) {
        link_->on(wire::message_kind::sub_query_batch,
                  [this](const wire::envelope& message) { on_batch(message); });
        link_->on(wire::message_kind::sub_query_result,
                  [this](const wire::envelope& message) { on_result(message); });
        link_->on(wire::message_kind::sub_query_cancel,
                  [this](const wire::envelope& message) { on_cancel(message); });
        membership->post([workers = workers_](membership_agent& agent) {
            agent.listen_quarantined([workers](routing::query_fingerprint query) {
                for (const auto& worker : workers->workers) {
                    worker->thread()->spawn([worker, query] { worker->import_quarantined(query); });
                }
            });
        });
    }

    void on_batch(const wire::envelope& message) {
        auto batch = wire::decode_batch(message.payload, std::chrono::steady_clock::now());
        if (!batch) {
            spdlog::warn("refused a malformed batch of {}", message.sender.text());
            return;
        }
        const auto state = publisher_->state().read();
        if (!knows_any(state->configuration->shard_map, batch->shards)) {
            reply(message.sender, {batch->request, batch->batch, batch->searcher, {}});
            return;
        }
        const auto& worker = workers_->of(batch->request);
        worker->thread()->spawn(
            [this, worker, batch = std::move(batch.value()), sender = message.sender] {
                reply(sender, worker->execute(batch));
            });
    }

    /// Whether the map has any of the shards. An instance that has just started is already an owner
    /// for others while it does not know the configuration yet.
    static bool knows_any(const model::shard_map& map,
                          const std::vector<model::shard_ref>& shards) {
        return std::any_of(shards.begin(), shards.end(),
                           [&](const auto& it) { return map.find_shard(it) != nullptr; });
    }

    void reply(const model::instance_id& entry, const routing::sub_query_result& result) {
        const auto state = publisher_->state().read();
        if (const auto* to = state->instances.find(entry)) {
            link_->send(to->peer_address, wire::message_kind::sub_query_result,
                        wire::encode_batch_result(result));
        }
    }

    void on_result(const wire::envelope& message) {
        auto result = wire::decode_batch_result(message.payload);
        if (!result) {
            spdlog::warn("refused a malformed batch result of {}", message.sender.text());
            return;
        }
        report_traffic(message.sender);
        const auto request = result->request;
        if (result->shards.empty()) {
            // The owner declined; the search goes to the next one.
            pending_->deliver(request, owner_lost{message.sender});
            return;
        }
        pending_->deliver(request, std::move(result.value()));
    }

    /// Passes signs of life to the membership, at most four a second of one instance.
    void report_traffic(const model::instance_id& sender) {
        constexpr auto report_interval = std::chrono::milliseconds{250};
        const auto now = std::chrono::steady_clock::now();
        auto& reported = traffic_reported_[sender];
        if (now - reported >= report_interval) {
            reported = now;
            membership_->post([sender](membership_agent& it) { it.on_traffic(sender); });
        }
    }

    void on_cancel(const wire::envelope& message) {
        const auto cancel = wire::decode_batch_cancel(message.payload);
        if (!cancel) {
            return;
        }
        const auto& worker = workers_->of(cancel->request);
        worker->thread()->spawn(
            [worker, it = cancel.value()] { worker->cancel(it.request, it.batch); });
    }

    [[nodiscard]] std::size_t in_flight() const {
        std::size_t sum = 0;
        for (const auto& worker : workers_->workers) {
            worker->thread()->run([&] { sum += worker->in_flight(); });
        }
        return sum;
    }

    static std::string dump(const search_workers& workers) {
        std::string text = "[";
        for (const auto& worker : workers.workers) {
            std::string part;
            worker->thread()->run([&] { part = worker->dump(); });
            text += (text.size() > 1 ? "," : "") + part;
        }
        return text + "]";
    }

    std::shared_ptr<peer_link> link_;
    std::shared_ptr<tier_state_publisher> publisher_;
    std::shared_ptr<pending_batches> pending_;
    std::shared_ptr<search_workers> workers_;
    std::shared_ptr<membership_loop> membership_;
    /// Used on the first traffic thread only.
    std::map<model::instance_id, kernel::time_point> traffic_reported_;
};

const kernel::module_registration<search_module> registration;

}  // namespace
}  // namespace poplarfront::daemon
