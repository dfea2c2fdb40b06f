#include <algorithm>
#include <memory>
#include <vector>

#include "daemon/entry_gates.h"
#include "daemon/request_ids.h"
#include "daemon/search_workers.h"
#include "daemon/tier_state_publisher.h"
#include "kernel/module_registration.h"
#include "runtime/route_table.h"
#include "wire/caller_json.h"

namespace poplarfront::daemon {
namespace {

constexpr unsigned bad_request = 400;
constexpr unsigned too_many_requests = 429;
constexpr unsigned service_unavailable = 503;

/// Serves searches on one traffic thread.
class search_entry {
public:
    search_entry(std::shared_ptr<search_worker> worker, std::shared_ptr<request_ids> ids,
                 std::shared_ptr<tier_state_publisher> publisher, std::shared_ptr<entry_gate> gate)
        : worker_(std::move(worker)),
          ids_(std::move(ids)),
          publisher_(std::move(publisher)),
          gate_(std::move(gate)) {}

    runtime::http_response serve(const runtime::http_request& request) {
        const auto now = std::chrono::steady_clock::now();
        const auto state = publisher_->state().read();
        if (state->configuration->revision.value == 0) {
            return {service_unavailable,
                    wire::encode_refusal("no_configuration", "",
                                         "no accepted configuration is known yet")};
        }
        runtime::http_response refusal{bad_request, ""};
        const auto search = kernel::handle<wire::wire_error>(
            [&]() -> kernel::result<std::optional<model::search_request>> {
                BOOST_LEAF_AUTO(decoded,
                                wire::decode_search(request.body, state->configuration->shard_map,
                                                    ids_->next(), now));
                return std::optional{std::move(decoded)};
            },
            [&](const wire::wire_error& error) -> std::optional<model::search_request> {
                refusal.body = wire::encode_refusal("invalid_request", error.field, error.message);
                return std::nullopt;
            });
        return search ? admit(*search, *state) : refusal;
    }

private:
    runtime::http_response admit(const model::search_request& search, const tier_state& state) {
        gate_->apply(*state.configuration, state.instances.working_instances().size());
        const auto refused = gate_->acquire(search.searcher, search.services, search.deadline);
        if (refused) {
            return {too_many_requests, wire::encode_refusal("overloaded", "", to_string(*refused))};
        }
        const auto start = std::chrono::steady_clock::now();
        auto answer = worker_->search(internal(search, start));
        answer.request = search.request;
        gate_->release(std::chrono::steady_clock::now() - start, was_shed(answer));
        return {200, wire::encode_answer(answer)};
    }

    /// The request as the tier executes it. Its id is made here, because a caller may send one id
    /// through several instances, whose attempts would then collide on an owner.
    [[nodiscard]] model::search_request internal(const model::search_request& search,
                                                 kernel::time_point now) const {
        // The way back to the caller takes about 1 ms; short deadlines give a tenth.
        constexpr kernel::duration longest_margin = std::chrono::milliseconds{2};
        constexpr int margin_part = 10;
        auto request = search;
        request.request = ids_->next();
        request.deadline -= std::min(longest_margin, (search.deadline - now) / margin_part);
        return request;
    }

    static bool was_shed(const model::search_answer& answer) {
        return std::any_of(answer.shards.begin(), answer.shards.end(),
                           [](const auto& it) { return it.reason == model::missing_reason::shed; });
    }

    std::shared_ptr<search_worker> worker_;
    std::shared_ptr<request_ids> ids_;
    std::shared_ptr<tier_state_publisher> publisher_;
    std::shared_ptr<entry_gate> gate_;
};

/// Serves `POST /v1/search`.
class caller_module {
public:
    static kernel::module_descriptor descriptor() {
        return {
            "caller", {"runtime", "instance", "tier_state", "search", "admission"}, {}, {"search"}};
    }

    static kernel::result<std::shared_ptr<caller_module>> create(kernel::module_context& context) {
        auto module = std::make_shared<caller_module>();
        const auto publisher = context.require<tier_state_publisher>();
        const auto ids = std::make_shared<request_ids>(*context.require<const instance_identity>());
        context.provide(ids);
        const auto& workers = context.require<search_workers>()->workers;
        const auto& gates = context.require<entry_gates>()->gates;
        for (std::size_t i = 0; i < workers.size(); ++i) {
            module->entries_.push_back(
                std::make_shared<search_entry>(workers[i], ids, publisher, gates[i]));
        }
        context.require<runtime::caller_routes>()->add(
            "POST", "/v1/search",
            [entries = module->entries_](std::size_t thread, const runtime::http_request& request) {
                return entries[thread]->serve(request);
            });
        return module;
    }

    kernel::result<void> start() { return {}; }
    void stop() {}

private:
    std::vector<std::shared_ptr<search_entry>> entries_;
};

const kernel::module_registration<caller_module> registration;

}  // namespace
}  // namespace poplarfront::daemon
