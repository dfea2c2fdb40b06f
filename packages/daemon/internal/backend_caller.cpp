#include "daemon/backend_caller.h"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace poplarfront::daemon {
namespace {

using model::attempt_status;

model::attempt_reply failed_reply(const model::shard_attempt& attempt, attempt_status status) {
    model::attempt_reply reply;
    reply.request = attempt.request;
    reply.attempt = attempt.attempt;
    reply.searcher = attempt.searcher;
    reply.shard = attempt.shard;
    reply.server = attempt.server;
    reply.status = status;
    return reply;
}

attempt_status status_of(runtime::call_status status) {
    switch (status) {
        case runtime::call_status::not_sent:
            return attempt_status::not_sent;
        case runtime::call_status::connection_lost:
        case runtime::call_status::response_too_large:
            return attempt_status::connection_lost;
        case runtime::call_status::answered:
        case runtime::call_status::timed_out:
            return attempt_status::timed_out;
    }
    return attempt_status::timed_out;
}

kernel::time_point now() {
    return std::chrono::steady_clock::now();
}

}  // namespace

backend_caller::backend_caller(std::shared_ptr<runtime::fiber_thread> thread,
                               std::shared_ptr<const instance_identity> identity,
                               std::size_t threads)
    : thread_(std::move(thread)),
      identity_(std::move(identity)),
      threads_(threads),
      client_(runtime::http_client::create(thread_)) {}

std::optional<backend_caller::server_access> backend_caller::access(const model::server_id& server,
                                                                    const tier_state& state) {
    const auto* info = state.configuration->shard_map.find_server(server);
    if (info == nullptr) {
        return std::nullopt;
    }
    // An instance that is no owner in its own view may be one in the view of the sender.
    const auto part = state.ownership.quota_of(identity_->instance, server)
                          .value_or(membership::server_quota{1, 1});
    const auto share = [&](std::uint32_t n) {
        return static_cast<std::uint32_t>(std::max<std::size_t>(1, n / threads_));
    };
    auto& gate = gates_[server];
    if (gate == nullptr) {
        gate = std::make_shared<slot_gate>(share(part.slots));
    }
    gate->resize(share(part.slots));
    return server_access{info->address, share(part.connections), gate};
}

model::attempt_reply backend_caller::call(const model::shard_attempt& attempt,
                                          const tier_state& state) {
    const auto server = access(attempt.server, state);
    if (!server) {
        return failed_reply(attempt, attempt_status::not_sent);
    }
    const attempt_key key{attempt.request, attempt.attempt};
    open_.emplace(key, false);
    const bool has_slot = server->gate->acquire(attempt.deadline);
    if (!has_slot || cancelled_.contains(key)) {
        if (has_slot) {
            server->gate->release(std::nullopt);
        }
        open_.erase(key);
        cancelled_.erase(key);
        return failed_reply(attempt, attempt_status::not_sent);
    }
    open_[key] = true;
    const auto start = now();
    auto reply = exchange(attempt, *server);
    const bool executed = reply.status == attempt_status::ok && !cancelled_.contains(key);
    server->gate->release(executed ? std::optional{now() - start} : std::nullopt);
    open_.erase(key);
    cancelled_.erase(key);
    return reply;
}

model::attempt_reply backend_caller::exchange(const model::shard_attempt& attempt,
                                              const server_access& server) {
    const auto result =
        client_->call(server.address, {"POST", "/query", wire::encode_attempt(attempt, now())},
                      attempt.deadline, server.connections);
    if (result.status != runtime::call_status::answered) {
        return failed_reply(attempt, status_of(result.status));
    }
    return kernel::handle<wire::wire_error>(
        [&] { return wire::decode_attempt_reply(result.response.body); },
        [&](const wire::wire_error& error) {
            spdlog::warn("request={} backend_server={} reply refused: {} {}",
                         attempt.request.text(), attempt.server.text(), error.field, error.message);
            return failed_reply(attempt, attempt_status::bad_request);
        });
}

void backend_caller::cancel(const model::shard_attempt& attempt, const tier_state& state) {
    const auto open = open_.find({attempt.request, attempt.attempt});
    if (open == open_.end()) {
        return;
    }
    cancelled_.insert(open->first);
    const auto server = access(attempt.server, state);
    if (!open->second || !server) {
        return;
    }
    thread_->spawn([client = client_, server = *server, attempt] {
        constexpr auto cancel_limit = std::chrono::milliseconds{200};
        client->call(server.address,
                     {"POST", "/cancel", wire::encode_cancel(attempt.request, attempt.attempt)},
                     now() + cancel_limit, server.connections);
    });
}

wire::backend_action_reply backend_caller::act(const model::action_request& action,
                                               const model::server_id& server,
                                               const tier_state& state) {
    wire::backend_action_reply reply{action.request, action.searcher, attempt_status::not_sent, ""};
    const auto found = access(server, state);
    if (!found || !found->gate->acquire(action.deadline)) {
        return reply;
    }
    const auto start = now();
    // A pause while waiting for the slot may have outlasted the deadline; an idle connection would
    // still carry the action.
    if (start >= action.deadline) {
        found->gate->release(std::nullopt);
        return reply;
    }
    const auto result = client_->call(
        found->address, {"POST", "/action", wire::encode_backend_action(action, start)},
        action.deadline, found->connections);
    found->gate->release(now() - start);
    if (result.status != runtime::call_status::answered) {
        reply.status = status_of(result.status);
        return reply;
    }
    // A reply that cannot be read says nothing about whether the action ran.
    reply.status = attempt_status::timed_out;
    return kernel::handle<wire::wire_error>(
        [&] { return wire::decode_backend_action_reply(result.response.body); },
        [&](const wire::wire_error&) { return reply; });
}

}  // namespace poplarfront::daemon
