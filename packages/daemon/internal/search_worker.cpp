#include "daemon/search_worker.h"

#include <spdlog/spdlog.h>

#include <map>
#include <vector>

#include "routing/query_session.h"
#include "routing/shard_call.h"
#include "runtime/mailbox.h"
#include "wire/backend_json.h"

namespace poplarfront::daemon {
namespace {

using reply_mailbox = runtime::mailbox<model::attempt_reply>;
using result_mailbox = runtime::mailbox<routing::sub_query_result>;

/// Runs a function on a new fiber for each attempt and passes its reply to a mailbox.
template <class Call>
class fiber_shard_transport {
public:
    fiber_shard_transport(runtime::fiber_thread& thread, std::shared_ptr<reply_mailbox> replies,
                          Call call)
        : thread_(thread), replies_(std::move(replies)), call_(std::move(call)) {}

    void send(const model::shard_attempt& attempt) {
        thread_.spawn(
            [attempt, replies = replies_, call = call_] { replies->push(call(attempt)); });
    }

    void cancel(const model::shard_attempt&) {}

private:
    runtime::fiber_thread& thread_;
    std::shared_ptr<reply_mailbox> replies_;
    Call call_;
};

/// Executes batches on this instance and passes their results to a mailbox.
template <class Execute>
class local_owner_transport {
public:
    local_owner_transport(runtime::fiber_thread& thread, std::shared_ptr<result_mailbox> results,
                          Execute execute)
        : thread_(thread), results_(std::move(results)), execute_(std::move(execute)) {}

    void send(const model::instance_id&, const routing::sub_query_batch& batch) {
        thread_.spawn(
            [batch, results = results_, execute = execute_] { results->push(execute(batch)); });
    }

    void cancel(const model::instance_id&, const routing::sub_query_batch&) {}

private:
    runtime::fiber_thread& thread_;
    std::shared_ptr<result_mailbox> results_;
    Execute execute_;
};

model::attempt_reply failed_reply(const model::shard_attempt& attempt,
                                  model::attempt_status status) {
    model::attempt_reply reply{attempt.request, attempt.attempt, attempt.searcher,
                               attempt.shard,   attempt.server,  status};
    return reply;
}

model::attempt_status status_of(runtime::call_status status) {
    switch (status) {
        case runtime::call_status::not_sent:
            return model::attempt_status::not_sent;
        case runtime::call_status::connection_lost:
            return model::attempt_status::connection_lost;
        case runtime::call_status::answered:
        case runtime::call_status::timed_out:
            return model::attempt_status::timed_out;
    }
    return model::attempt_status::timed_out;
}

}  // namespace

std::shared_ptr<search_worker> search_worker::create(
    std::shared_ptr<runtime::fiber_thread> thread,
    std::shared_ptr<const instance_identity> identity,
    std::shared_ptr<published_shard_map> shard_map) {
    return std::shared_ptr<search_worker>(
        new search_worker(std::move(thread), std::move(identity), std::move(shard_map)));
}

search_worker::search_worker(std::shared_ptr<runtime::fiber_thread> thread,
                             std::shared_ptr<const instance_identity> identity,
                             std::shared_ptr<published_shard_map> shard_map)
    : thread_(std::move(thread)),
      identity_(std::move(identity)),
      shard_map_(std::move(shard_map)),
      client_(runtime::http_client::create(thread_)) {}

model::search_answer search_worker::search(const model::search_request& request,
                                           const std::shared_ptr<const model::shard_map>& map) {
    auto results = std::make_shared<result_mailbox>();
    local_owner_transport transport{
        *thread_, results,
        [self = shared_from_this()](const auto& batch) { return self->execute(batch); }};
    routing::query_session session{clock_,
                                   transport,
                                   request,
                                   model::pin{map->map_revision(), {1}},
                                   map->shards_of(request.services),
                                   identity_->instance};
    session.start();
    while (!session.answer()) {
        if (const auto result = results->pop_until(session.next_timer())) {
            session.on_result(*result);
        } else {
            session.on_timer();
        }
    }
    return *session.answer();
}

routing::sub_query_result search_worker::execute(const routing::sub_query_batch& batch) {
    const auto map = shard_map_->read();
    auto replies = std::make_shared<reply_mailbox>();
    fiber_shard_transport transport{
        *thread_, replies, [self = shared_from_this(), map](const model::shard_attempt& attempt) {
            const auto* server = map->find_server(attempt.server);
            return self->call_backend(attempt, server->address);
        }};
    using call_type = routing::shard_call<kernel::system_clock_source, decltype(transport)>;
    std::vector<call_type> calls;
    std::uint32_t next_attempt = 1;
    for (const auto& shard : batch.shards) {
        calls.emplace_back(clock_, transport, batch, shard, map->find_shard(shard)->replicas,
                           next_attempt++);
    }
    for (auto& call : calls) {
        call.start();
    }
    const auto open = [](const call_type& call) { return !call.result(); };
    while (std::any_of(calls.begin(), calls.end(), open)) {
        const auto reply = replies->pop_until(batch.deadline);
        for (auto& call : calls) {
            if (reply) {
                call.on_reply(*reply);
            } else {
                call.on_timer();
            }
        }
    }
    routing::sub_query_result result{batch.request, batch.batch, batch.searcher, {}};
    for (const auto& call : calls) {
        result.shards.push_back(*call.result());
    }
    return result;
}

model::attempt_reply search_worker::call_backend(const model::shard_attempt& attempt,
                                                 const std::string& address) {
    constexpr std::size_t max_connections = 3;
    const auto result =
        client_->call(address, {"POST", "/query", wire::encode_attempt(attempt, clock_.now())},
                      attempt.deadline, max_connections);
    if (result.status != runtime::call_status::answered) {
        return failed_reply(attempt, status_of(result.status));
    }
    return kernel::handle<wire::wire_error>(
        [&] { return wire::decode_attempt_reply(result.response.body); },
        [&](const wire::wire_error& error) {
            spdlog::warn("request={} backend_server={} reply refused: {} {}",
                         attempt.request.text(), attempt.server.text(), error.field, error.message);
            return failed_reply(attempt, model::attempt_status::bad_request);
        });
}

}  // namespace poplarfront::daemon
