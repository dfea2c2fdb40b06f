#include "wire/fleet_codec.h"

#include <algorithm>
#include <chrono>

#include "wire/generated/peer.pb.h"
#include "wire/internal/proto_fields.h"

namespace poplarfront::wire {
namespace {

constexpr std::uint32_t max_age_ms = 3'600'000;

}  // namespace

std::string encode_fleet_request(const fleet_request& request) {
    proto::FleetRequest message;
    message.set_after(request.known.revision);
    message.set_latest(request.known.latest);
    message.set_listed_until(request.known.listed_until);
    message.set_accepts_parts(request.accepts_parts);
    message.set_reply_to(request.reply_to);
    return message.SerializeAsString();
}

kernel::result<fleet_request> decode_fleet_request(std::string_view bytes) {
    BOOST_LEAF_AUTO(message, internal::parse_message<proto::FleetRequest>(bytes));
    return fleet_request{{message.after(), message.latest(), message.listed_until()},
                         message.reply_to(),
                         message.accepts_parts()};
}

std::string encode_fleet_reply(const gateway::store_update& update) {
    proto::FleetReply message;
    message.set_revision(update.revision);
    message.set_listing(update.listing);
    message.set_after(update.after);
    message.set_after_key(update.after_key);
    message.set_until_key(update.until_key);
    message.set_more(update.more);
    message.set_latest(update.latest);
    message.set_max_known(update.max_known);
    using std::chrono::milliseconds;
    const auto age_ms = std::chrono::duration_cast<milliseconds>(update.age).count();
    message.set_age_ms(static_cast<std::uint32_t>(std::clamp<std::int64_t>(age_ms, 0, max_age_ms)));
    for (const auto& change : update.changes) {
        auto& out_change = *message.add_changes();
        out_change.set_key(change.key);
        out_change.set_value(change.value);
        out_change.set_revision(change.revision);
        out_change.set_deleted(change.deleted);
    }
    return message.SerializeAsString();
}

kernel::result<gateway::store_update> decode_fleet_reply(std::string_view bytes) {
    BOOST_LEAF_AUTO(message, internal::parse_message<proto::FleetReply>(bytes));
    gateway::store_update update;
    update.revision = message.revision();
    update.listing = message.listing();
    update.after = message.after();
    update.after_key = message.after_key();
    update.until_key = message.until_key();
    update.more = message.more();
    update.latest = message.latest();
    update.max_known = message.max_known();
    update.age = std::chrono::milliseconds{std::min(message.age_ms(), max_age_ms)};
    for (const auto& change : message.changes()) {
        update.changes.push_back(
            {change.key(), change.value(), change.revision(), change.deleted()});
    }
    return update;
}

}  // namespace poplarfront::wire
