#include "gateway/backend_notices.h"

#include <algorithm>

namespace poplarfront::gateway {

void backend_notices::on_reply(const backend_entry& backend, const backend_reply& reply,
                               kernel::time_point now) {
    if (reply.misdirected) {
        // The reply comes from another backend server at this address.
        return;
    }
    const bool pauses = reply.retry_after && *reply.retry_after > kernel::duration::zero();
    if (reply.leaving || pauses) {
        backend_notice notice{backend.id, backend.started_ms, now, reply.leaving, std::nullopt};
        if (pauses) {
            notice.paused_until = now + std::min(*reply.retry_after, max_pause);
        }
        on_notice(notice);
        if (publication_) {
            publication_(notice);
        }
        return;
    }
    const auto* known = notice_of(backend);
    if (known != nullptr && !known->leaving && known->paused_until <= now) {
        notices_.erase(backend.id);
    }
}

void backend_notices::on_notice(const backend_notice& notice) {
    const auto [it, is_new] = notices_.try_emplace(notice.server, notice);
    auto& known = it->second;
    if (is_new || notice.started_ms < known.started_ms) {
        return;
    }
    if (notice.started_ms > known.started_ms) {
        known = notice;
        return;
    }
    known = {notice.server, notice.started_ms, std::max(known.received, notice.received),
             known.leaving || notice.leaving, std::max(known.paused_until, notice.paused_until)};
}

backend_availability backend_notices::availability_of(const backend_entry& backend,
                                                      kernel::time_point now) const {
    const auto* notice = notice_of(backend);
    if (notice == nullptr) {
        return backend_availability::available;
    }
    const bool paused = notice->paused_until && now < *notice->paused_until;
    return notice->leaving || paused ? backend_availability::none
                                     : backend_availability::one_request;
}

std::optional<kernel::time_point> backend_notices::paused_until(
    const backend_entry& backend) const {
    const auto* notice = notice_of(backend);
    return notice == nullptr || notice->leaving ? std::nullopt : notice->paused_until;
}

const backend_notice* backend_notices::notice_of(const backend_entry& backend) const {
    if (notices_.empty()) {
        return nullptr;
    }
    const auto it = notices_.find(backend.id);
    return it == notices_.end() || it->second.started_ms != backend.started_ms ? nullptr
                                                                               : &it->second;
}

}  // namespace poplarfront::gateway
