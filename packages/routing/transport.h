#pragma once

#include <concepts>

#include "model/backend.h"
#include "model/identifier.h"
#include "routing/sub_query.h"

namespace poplarfront::routing {

/// Sends attempts to backend servers. Must not block; replies are passed to shard_call::on_reply().
template <class T>
concept shard_transport = requires(T& transport, const model::shard_attempt& attempt) {
    { transport.send(attempt) } -> std::same_as<void>;
    { transport.cancel(attempt) } -> std::same_as<void>;
};

/// Sends batches to owners. Must not block; results are passed to query_session::on_result().
template <class T>
concept owner_transport = requires(T& transport, const model::instance_id& owner,
                                   const sub_query_batch& batch) {
    { transport.send(owner, batch) } -> std::same_as<void>;
    { transport.cancel(owner, batch) } -> std::same_as<void>;
};

}  // namespace poplarfront::routing
