#pragma once

#include <chrono>
#include <concepts>
#include <memory>
#include <string>
#include <utility>

#include "runtime/fiber_thread.h"
#include "store/store_client.h"

namespace poplarfront::store {

/// Receives the completions of asynchronous calls.
template <class T>
concept store_completion_handler = requires(T& completions, call_id call, const read_outcome& read,
                                            const write_outcome& write) {
    { completions.on_read(call, read) } -> std::same_as<void>;
    { completions.on_write(call, write) } -> std::same_as<void>;
};

/// Runs the calls of a store client on fibers and delivers their completions on the same thread.
///
/// Thread safety: used on the fiber thread, which is the client's own. The completions object is
/// shared with the calls under way, so it must not refer to a state machine that may be gone; hold
/// that one weakly.
template <store_client Client, store_completion_handler Completions>
class async_store_adapter {
public:
    /// `call_limit` is the deadline of each call, counted from its start.
    async_store_adapter(std::shared_ptr<runtime::fiber_thread> thread,
                        std::shared_ptr<Client> client, std::shared_ptr<Completions> completions,
                        kernel::duration call_limit)
        : thread_(std::move(thread)),
          client_(std::move(client)),
          completions_(std::move(completions)),
          call_limit_(call_limit) {}

    /// Completes by on_read.
    void read(call_id call, const std::string& key) {
        thread_->spawn(
            [client = client_, completions = completions_, call, key, deadline = call_deadline()] {
                completions->on_read(call, client->read(key, deadline));
            });
    }

    /// Completes by on_write.
    void compare_and_swap(call_id call, const std::string& key, std::uint64_t version,
                          const std::string& bytes) {
        thread_->spawn([client = client_, completions = completions_, call, key, version, bytes,
                        deadline = call_deadline()] {
            completions->on_write(call, client->compare_and_swap(key, version, bytes, deadline));
        });
    }

private:
    [[nodiscard]] kernel::time_point call_deadline() const {
        return std::chrono::steady_clock::now() + call_limit_;
    }

    std::shared_ptr<runtime::fiber_thread> thread_;
    std::shared_ptr<Client> client_;
    std::shared_ptr<Completions> completions_;
    kernel::duration call_limit_;
};

}  // namespace poplarfront::store
