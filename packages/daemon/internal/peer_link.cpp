#include "daemon/peer_link.h"

#include <spdlog/spdlog.h>

#include <optional>

namespace poplarfront::daemon {

void peer_link::on(wire::message_kind kind, handler handler) {
    handlers_.emplace(kind, std::move(handler));
}

kernel::result<void> peer_link::start(const std::shared_ptr<runtime::fiber_thread>& thread) {
    BOOST_LEAF_ASSIGN(endpoint_, runtime::peer_endpoint::create(
                                     thread, identity_->peer_address,
                                     [this](const std::string& bytes) { receive(bytes); }));
    return {};
}

void peer_link::stop() {
    endpoint_->stop();
}

void peer_link::send(const std::string& address, wire::message_kind kind, std::string payload) {
    endpoint_->send(address, wire::encode_envelope({identity_->deployment, identity_->instance,
                                                    identity_->start, kind, std::move(payload)}));
}

runtime::peer_endpoint::counters peer_link::transport_count() const {
    return endpoint_->count();
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
    auto& newest = newest_[message.sender];
    if (message.sender_incarnation < newest) {
        return true;
    }
    newest = message.sender_incarnation;
    return false;
}

}  // namespace poplarfront::daemon
