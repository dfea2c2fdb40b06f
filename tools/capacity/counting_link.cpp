#include "capacity/counting_link.h"

#include <algorithm>
#include <array>

#include "wire/generated/peer.pb.h"
#include "wire/gossip_codec.h"

namespace poplarfront::capacity {
namespace {

constexpr kernel::duration transit_time = std::chrono::milliseconds{1};

std::uint64_t encoded_size(const membership::peer_message& message) {
    wire::proto::Envelope envelope;
    envelope.set_protocol_version(1);
    envelope.set_deployment("richelieu");
    envelope.set_sender(message.header.sender.text());
    envelope.set_sender_incarnation(message.header.sender_incarnation.value);
    envelope.set_message_id(message.header.message_id);
    envelope.set_reply_to(message.header.reply_to);
    if (const auto* gossip = std::get_if<membership::gossip_body>(&message.body)) {
        wire::set_gossip(gossip->message, gossip->reply ? *envelope.mutable_gossip_reply()
                                                        : *envelope.mutable_gossip());
    } else if (const auto* probe = std::get_if<membership::probe_request>(&message.body)) {
        envelope.mutable_probe_request()->set_target(probe->target.text());
    } else {
        const auto& reply = std::get<membership::probe_reply>(message.body);
        envelope.mutable_probe_reply()->set_target(reply.target.text());
        envelope.mutable_probe_reply()->set_reached(reply.reached);
    }
    const auto bytes = envelope.SerializeAsString();
    wire::proto::Envelope received;
    received.ParseFromString(bytes);
    const auto& gossip = received.has_gossip() ? received.gossip() : received.gossip_reply();
    static_cast<void>(wire::get_gossip(gossip).has_value());
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
