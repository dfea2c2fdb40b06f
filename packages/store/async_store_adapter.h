#pragma once

#include <chrono>
#include <concepts>
#include <memory>
#include <string>
#include <utility>

#include "runtime/fiber_thread.h"
#include "store/store_client.h"

namespace poplarfront::store {

/// Handles the completions of asynchronous store calls.
template <class T>
concept store_completion_handler = requires(T& handler, call_id call, const read_outcome& read,
                                            const write_outcome& write) {
    { handler.on_read(call, read) } -> std::same_as<void>;
    { handler.on_write(call, write) } -> std::same_as<void>;
};

/// Adapts a blocking store client to async_store: runs each call on a fiber and delivers its
/// completion on the same thread.
///
/// Thread safety: use it on `thread` only, which must be the thread of the client. Calls in
/// progress share ownership of the completion handler, so the handler may outlive the state machine
/// that it notifies and must refer to it by a weak pointer.
template <store_client Client, store_completion_handler Handler>
class async_store_adapter {
public:
    /// `call_timeout` is the time from the start of each call to its deadline.
    async_store_adapter(std::shared_ptr<runtime::fiber_thread> thread,
                        std::shared_ptr<Client> client, std::shared_ptr<Handler> handler,
                        kernel::duration call_timeout)
        : thread_(std::move(thread)),
          client_(std::move(client)),
          handler_(std::move(handler)),
          call_timeout_(call_timeout) {}

    /// Completes with on_read.
    void read(call_id call, const std::string& key) {
        thread_->spawn(
            [client = client_, handler = handler_, call, key, deadline = call_deadline()] {
                handler->on_read(call, client->read(key, deadline));
            });
    }

    /// Completes with on_write.
    void compare_and_swap(call_id call, const std::string& key, std::uint64_t version,
                          const std::string& bytes) {
        thread_->spawn([client = client_, handler = handler_, call, key, version, bytes,
                        deadline = call_deadline()] {
            handler->on_write(call, client->compare_and_swap(key, version, bytes, deadline));
        });
    }

private:
    [[nodiscard]] kernel::time_point call_deadline() const {
        return std::chrono::steady_clock::now() + call_timeout_;
    }

    std::shared_ptr<runtime::fiber_thread> thread_;
    std::shared_ptr<Client> client_;
    std::shared_ptr<Handler> handler_;
    kernel::duration call_timeout_;
};

}  // namespace poplarfront::store
