#include <spdlog/spdlog.h>

#include <atomic>
#include <memory>
#include <vector>

#include "daemon/search_worker.h"
#include "kernel/module_registration.h"
#include "runtime/route_table.h"
#include "runtime/thread_set.h"
#include "wire/caller_json.h"

namespace poplarfront::daemon {
namespace {

constexpr unsigned bad_request = 400;

/// Makes request ids that no other instance makes.
class request_ids {
public:
    explicit request_ids(const instance_identity& identity)
        : prefix_(identity.instance.text() + "-" + std::to_string(identity.start.value) + "-") {}

    model::request_id next() {
        return model::request_id::trusted(prefix_ + std::to_string(++count_));
    }

private:
    std::string prefix_;
    std::atomic<std::uint64_t> count_ = 0;
};

/// Serves `POST /v1/search`.
class search_module {
public:
    static kernel::module_descriptor descriptor() {
        return {"search", {"runtime", "instance", "configuration", "peers"}, {}};
    }

    static kernel::result<std::shared_ptr<search_module>> create(kernel::module_context& context) {
        auto module = std::make_shared<search_module>();
        const auto identity = context.require<const instance_identity>();
        const auto map = context.require<published_shard_map>();
        const auto thread = context.require<runtime::thread_set>()->traffic.front();
        auto worker = search_worker::create(thread, identity, map);
        auto ids = std::make_shared<request_ids>(*identity);
        context.require<runtime::caller_routes>()->add(
            "POST", "/v1/search", [worker, ids, map](const runtime::http_request& request) {
                return serve(*worker, *ids, map->read(), request);
            });
        return module;
    }

    kernel::result<void> start() { return {}; }
    void stop() {}

private:
    static runtime::http_response serve(search_worker& worker, request_ids& ids,
                                        const std::shared_ptr<const model::shard_map>& map,
                                        const runtime::http_request& request) {
        const auto now = std::chrono::steady_clock::now();
        std::string refusal;
        const auto search = kernel::handle<wire::wire_error>(
            [&]() -> kernel::result<std::optional<model::search_request>> {
                BOOST_LEAF_AUTO(decoded, wire::decode_search(request.body, *map, ids.next(), now));
                return std::optional{std::move(decoded)};
            },
            [&](const wire::wire_error& error) -> std::optional<model::search_request> {
                refusal = wire::encode_refusal("invalid_request", error.field, error.message);
                return std::nullopt;
            });
        if (!search) {
            return {bad_request, refusal};
        }
        return {200, wire::encode_answer(worker.search(*search, map))};
    }
};

const kernel::module_registration<search_module> registration;

}  // namespace
}  // namespace poplarfront::daemon
