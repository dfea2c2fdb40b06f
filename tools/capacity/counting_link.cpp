#include "capacity/counting_link.h"

#include <algorithm>
#include <array>

#include "wire/envelope.h"
#include "wire/membership_codec.h"

namespace poplarfront::capacity {
namespace {

constexpr kernel::duration transit_time = std::chrono::milliseconds{1};

/// Bytes on the wire. Decodes them as well, since a receiver spends that time too.
std::uint64_t encoded_size(const membership::peer_message& message) {
    const auto deployment = model::deployment_id::trusted("richelieu");
    const auto payload =
        wire::encode_membership({message.header.message_id, message.header.reply_to, message.body});
    const auto bytes =
        wire::encode_envelope({deployment, message.header.sender, message.header.sender_incarnation,
                               wire::message_kind::membership, payload});
    const auto received = wire::decode_envelope(bytes, deployment);
    if (received) {
        static_cast<void>(wire::decode_membership(received->payload).has_value());
    }
    return bytes.size();
}

}  // namespace

std::optional<kernel::duration> counting_link::transit(const membership::peer_message& message,
                                                       kernel::time_point) {
    const auto bytes = encoded_size(message);
    ++messages;
    total_sent_bytes += bytes;
    sent_bytes[message.from.instance] += bytes;
    const bool leaves = message.from.data_centre != message.to.data_centre;
    if (leaves && (message.from.data_centre == cut_off || message.to.data_centre == cut_off)) {
        return std::nullopt;
    }
    if (!stopped.contains(message.to.instance)) {
        received_bytes += bytes;
    }
    return transit_time;
}

void counting_link::reset() {
    messages = 0;
    total_sent_bytes = 0;
    received_bytes = 0;
    sent_bytes.clear();
}

std::uint64_t counting_link::most_sent() const {
    std::uint64_t most = 0;
    for (const auto& [id, bytes] : sent_bytes) {
        most = std::max(most, bytes);
    }
    return most;
}

model::instance_info numbered_instance(std::uint64_t n, kernel::time_point now) {
    constexpr std::array<const char*, 4> data_centres{"crack-hall", "sort-wing", "dock-shed",
                                                      "office-annex"};
    // As long as the time since the epoch, which is what a process uses.
    constexpr auto epoch = std::chrono::hours{496'000};
    const auto since =
        epoch + std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch());
    return {model::instance_id::trusted("poplarfront-" + std::to_string(n)),
            model::data_centre_id::trusted(data_centres.at(n % data_centres.size())),
            "10.20." + std::to_string(n / 250) + "." + std::to_string(n % 250) + ":7000",
            membership::first_incarnation(since)};
}

}  // namespace poplarfront::capacity
