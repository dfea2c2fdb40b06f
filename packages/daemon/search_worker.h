#pragma once

#include <memory>

#include "daemon/active_snapshot.h"
#include "daemon/instance_identity.h"
#include "kernel/sources.h"
#include "model/search.h"
#include "routing/sub_query.h"
#include "runtime/fiber_thread.h"
#include "runtime/http_client.h"

namespace poplarfront::daemon {

/// Executes searches and sub-query batches on one traffic thread.
///
/// Thread safety: used on fibers of its thread only.
class search_worker : public std::enable_shared_from_this<search_worker> {
public:
    static std::shared_ptr<search_worker> create(std::shared_ptr<runtime::fiber_thread> thread,
                                                 std::shared_ptr<const instance_identity> identity,
                                                 std::shared_ptr<published_shard_map> shard_map);

    /// Executes a search as its entry instance. Suspends the fiber until there is an answer, at
    /// the latest at the deadline. Precondition: the services are in `map`.
    model::search_answer search(const model::search_request& request,
                                const std::shared_ptr<const model::shard_map>& map);

    /// Executes a batch as an owner. Suspends the fiber until all shards have a result.
    routing::sub_query_result execute(const routing::sub_query_batch& batch);

private:
    search_worker(std::shared_ptr<runtime::fiber_thread> thread,
                  std::shared_ptr<const instance_identity> identity,
                  std::shared_ptr<published_shard_map> shard_map);

    model::attempt_reply call_backend(const model::shard_attempt& attempt,
                                      const std::string& address);

    std::shared_ptr<runtime::fiber_thread> thread_;
    std::shared_ptr<const instance_identity> identity_;
    std::shared_ptr<published_shard_map> shard_map_;
    std::shared_ptr<runtime::http_client> client_;
    kernel::system_clock_source clock_;
};

}  // namespace poplarfront::daemon
