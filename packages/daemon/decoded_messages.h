#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "daemon/peer_link.h"
#include "kernel/result.h"
#include "wire/wire_error.h"

namespace poplarfront::daemon {

/// Writes the line for a message of another instance that cannot be read. Thread-safe.
void log_message_refused(std::string_view sender, const wire::wire_error& error);

/// A handler for peer_link that passes the decoded payload and the sender's name on to
/// `handle(Value, const std::string&)`. A payload that cannot be read is logged and dropped.
template <class Value, class Handler>
peer_link::handler decoded(kernel::result<Value> (*decode)(std::string_view), Handler handle) {
    return [decode, handle](const wire::envelope& message) {
        const auto& sender = message.sender.text();
        // The value is handled outside of LEAF's scope, since that may suspend the fiber.
        auto read = kernel::handle<wire::wire_error>(
            [&]() -> kernel::result<std::optional<Value>> {
                BOOST_LEAF_AUTO(payload, decode(message.payload));
                return std::optional<Value>{std::move(payload)};
            },
            [&](const wire::wire_error& error) -> std::optional<Value> {
                log_message_refused(sender, error);
                return std::nullopt;
            });
        if (read) {
            handle(std::move(*read), sender);
        }
    };
}

}  // namespace poplarfront::daemon
