#include "gateway/update_window.h"

namespace poplarfront::gateway {

update_window::decision update_window::on_request(const std::string& address,
                                                  const store_position& known,
                                                  kernel::time_point now) {
    const auto last = in_flight_.find(address);
    const bool is_repeated = last != in_flight_.end() && last->second.known == known;
    if (is_repeated && now - last->second.sent_at < options_.timeout) {
        return decision::wait;
    }
    if (last != in_flight_.end()) {
        release(last->second);
    }
    release_expired(now);
    if (bytes_in_flight_ >= options_.max_bytes) {
        return decision::wait;
    }
    return is_repeated ? decision::send_again : decision::send;
}

void update_window::on_sent(const std::string& address, const store_position& known,
                            std::size_t bytes, kernel::time_point now) {
    auto& last = in_flight_[address];
    release(last);
    last = {known, bytes, now};
    bytes_in_flight_ += bytes;
}

void update_window::release(sent_update& update) {
    bytes_in_flight_ -= update.bytes;
    update.bytes = 0;
}

void update_window::release_expired(kernel::time_point now) {
    for (auto& [address, last] : in_flight_) {
        if (now - last.sent_at >= options_.timeout) {
            release(last);
        }
    }
    std::erase_if(in_flight_,
                  [&](const auto& it) { return now - it.second.sent_at >= options_.retention; });
}

}  // namespace poplarfront::gateway
