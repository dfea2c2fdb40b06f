#include "wire/gossip_codec.h"

#include <algorithm>
#include <limits>

#include "wire/generated/peer.pb.h"
#include "wire/internal/proto_fields.h"

namespace poplarfront::wire {
namespace {

// Longer than any IP:PORT. Bounds the size of each row received from a peer, so that long addresses
// cannot make the member table grow without bound.
constexpr std::size_t max_address_length = 64;

using internal::checked_identifier;

void to_proto(const model::instance_info& row, proto::MemberUpdate& update) {
    update.set_instance(row.instance.text());
    update.set_data_centre(row.data_centre.text());
    update.set_peer_address(row.peer_address);
    update.set_incarnation(row.incarnation_number.value);
    update.set_status(static_cast<std::uint32_t>(row.status));
}

kernel::result<model::instance_info> from_proto(const proto::MemberUpdate& update) {
    BOOST_LEAF_AUTO(instance,
                    checked_identifier<model::instance_id>(update.instance(), "instance"));
    BOOST_LEAF_AUTO(data_centre,
                    checked_identifier<model::data_centre_id>(update.data_centre(), "data_centre"));
    if (update.status() > static_cast<std::uint32_t>(model::instance_status::failed)) {
        return boost::leaf::new_error(wire_error{"status", "has an unknown value"});
    }
    if (update.peer_address().size() > max_address_length) {
        return boost::leaf::new_error(wire_error{"peer_address", "is too long"});
    }
    return model::instance_info{std::move(instance),
                                std::move(data_centre),
                                update.peer_address(),
                                {update.incarnation()},
                                static_cast<model::instance_status>(update.status())};
}

std::uint32_t to_uint32(std::chrono::milliseconds time) {
    constexpr std::int64_t max_value = std::numeric_limits<std::uint32_t>::max();
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(time.count(), 0, max_value));
}

}  // namespace

void set_gossip(const membership::gossip_message& gossip, proto::Gossip& message) {
    message.set_table_size(gossip.table_size);
    for (const auto& row : gossip.members) {
        to_proto(row, *message.add_members());
    }
    for (const auto& notice : gossip.draining) {
        auto& draining = *message.add_draining();
        draining.set_server(notice.server.text());
        draining.set_remaining_ms(to_uint32(notice.remaining));
    }
    for (const auto fingerprint : gossip.quarantined) {
        message.add_quarantined(fingerprint);
    }
}

kernel::result<membership::gossip_message> get_gossip(const proto::Gossip& message) {
    membership::gossip_message gossip{message.table_size(), {}, {}, {}};
    for (const auto& update : message.members()) {
        BOOST_LEAF_AUTO(row, from_proto(update));
        gossip.members.push_back(std::move(row));
    }
    for (const auto& notice : message.draining()) {
        BOOST_LEAF_AUTO(server, checked_identifier<model::server_id>(notice.server(), "server"));
        gossip.draining.push_back(
            {std::move(server), std::chrono::milliseconds{notice.remaining_ms()}});
    }
    gossip.quarantined.assign(message.quarantined().begin(), message.quarantined().end());
    return gossip;
}

std::string encode_gossip(const membership::gossip_message& gossip) {
    proto::Gossip message;
    set_gossip(gossip, message);
    return message.SerializeAsString();
}

kernel::result<membership::gossip_message> decode_gossip(std::string_view bytes) {
    BOOST_LEAF_AUTO(message, internal::parse_message<proto::Gossip>(bytes));
    return get_gossip(message);
}

}  // namespace poplarfront::wire
