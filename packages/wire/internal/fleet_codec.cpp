#include "wire/fleet_codec.h"

#include "wire/generated/peer.pb.h"
#include "wire/internal/proto_fields.h"

namespace poplarfront::wire {

std::string encode_fleet_request(const fleet_request& request) {
    proto::FleetRequest message;
    message.set_after(request.after);
    message.set_reply_to(request.reply_to);
    return message.SerializeAsString();
}

kernel::result<fleet_request> decode_fleet_request(std::string_view bytes) {
    BOOST_LEAF_AUTO(message, internal::parse_message<proto::FleetRequest>(bytes));
    return fleet_request{message.after(), message.reply_to()};
}

std::string encode_fleet_reply(const gateway::store_update& news) {
    proto::FleetReply message;
    message.set_revision(news.revision);
    message.set_complete(news.complete);
    for (const auto& it : news.changes) {
        auto& change = *message.add_changes();
        change.set_key(it.key);
        change.set_value(it.value);
        change.set_revision(it.revision);
        change.set_deleted(it.deleted);
    }
    return message.SerializeAsString();
}

kernel::result<gateway::store_update> decode_fleet_reply(std::string_view bytes) {
    BOOST_LEAF_AUTO(message, internal::parse_message<proto::FleetReply>(bytes));
    gateway::store_update news;
    news.revision = message.revision();
    news.complete = message.complete();
    for (const auto& it : message.changes()) {
        news.changes.push_back({it.key(), it.value(), it.revision(), it.deleted()});
    }
    return news;
}

}  // namespace poplarfront::wire
