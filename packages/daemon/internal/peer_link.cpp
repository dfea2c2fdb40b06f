#include "daemon/peer_link.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <optional>

#include "membership/gossip_message.h"

namespace poplarfront::daemon {

void peer_link::on(wire::message_kind kind, handler handler) {
    handlers_.emplace(kind, std::move(handler));
}

kernel::result<void> peer_link::start(const std::shared_ptr<runtime::fiber_thread>& thread) {
    BOOST_LEAF_AUTO(endpoint, runtime::peer_endpoint::create(
                                  thread, identity_->peer_address,
                                  [this](const std::string& bytes) { receive(bytes); }));
    endpoint_ = std::move(endpoint);
    return {};
}

void peer_link::stop() {
    endpoint_.load()->stop();
}

void peer_link::send(const std::string& address, wire::message_kind kind,
                     model::incarnation incarnation, std::string payload) {
    if (const auto endpoint = endpoint_.load()) {
        endpoint->send(address, wire::encode_envelope({identity_->deployment, identity_->instance,
                                                       incarnation, kind, std::move(payload)}));
    }
}

void peer_link::reconnect(const std::string& address) {
    if (const auto endpoint = endpoint_.load()) {
        endpoint->reconnect(address);
    }
}

runtime::peer_endpoint::message_counters peer_link::transport_counters() const {
    const auto endpoint = endpoint_.load();
    return endpoint ? endpoint->counters() : runtime::peer_endpoint::message_counters{};
}

void peer_link::receive(const std::string& bytes) {
    const auto decoded = kernel::handle<wire::wire_error>(
        [&]() -> kernel::result<std::optional<wire::envelope>> {
            BOOST_LEAF_AUTO(message, wire::decode_envelope(bytes, identity_->deployment));
            return std::optional{std::move(message)};
        },
        [&](const wire::wire_error& error) -> std::optional<wire::envelope> {
            spdlog::warn("refused a message of another instance: {} {}", error.field,
                         error.message);
            return std::nullopt;
        });
    if (!decoded) {
        ++refused_;
        return;
    }
    if (is_stale(*decoded)) {
        ++stale_;
        return;
    }
    if (const auto it = handlers_.find(decoded->kind); it != handlers_.end()) {
        it->second(*decoded);
    } else {
        ++refused_;
    }
}

bool peer_link::is_stale(const wire::envelope& message) {
    // A refuted suspicion raises the incarnation of a running process, so messages of one process
    // may carry different ones; only those of an earlier process are stale.
    const auto start = membership::process_start(message.sender_incarnation);
    auto& newest = newest_[message.sender];
    const bool stale = start < newest;
    newest = std::max(newest, start);
    return stale;
}

}  // namespace poplarfront::daemon
