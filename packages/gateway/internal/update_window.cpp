#include "gateway/update_window.h"

namespace poplarfront::gateway {

update_window::last_update update_window::on_request(const std::string& address,
                                                     const store_position& known,
                                                     kernel::time_point now) {
    const auto last = last_updates_.find(address);
    if (last == last_updates_.end()) {
        return last_update::received;
    }
    const bool is_repeated = last->second.known == known;
    if (is_repeated && now - last->second.sent_at < options_.timeout) {
        return last_update::in_flight;
    }
    release(last->second);
    return is_repeated ? last_update::lost : last_update::received;
}

bool update_window::try_add(const std::string& address, const store_position& known,
                            std::size_t bytes, kernel::time_point now) {
    release_expired(now);
    if (bytes_in_flight_ > 0 && bytes_in_flight_ + bytes > options_.max_bytes) {
        return false;
    }
    last_updates_[address] = {known, bytes, now};
    bytes_in_flight_ += bytes;
    return true;
}

void update_window::release(sent_update& update) {
    bytes_in_flight_ -= update.bytes;
    update.bytes = 0;
}

void update_window::release_expired(kernel::time_point now) {
    for (auto& [address, last] : last_updates_) {
        if (now - last.sent_at >= options_.timeout) {
            release(last);
        }
    }
    std::erase_if(last_updates_,
                  [&](const auto& it) { return now - it.second.sent_at >= options_.retention; });
}

}  // namespace poplarfront::gateway
