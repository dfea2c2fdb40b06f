#include "wire/membership_codec.h"

#include "wire/generated/peer.pb.h"
#include "wire/gossip_codec.h"
#include "wire/internal/proto_fields.h"

namespace poplarfront::wire {
namespace {

using membership::gossip_body;
using membership::probe_reply;
using membership::probe_request;

void to_proto(const gossip_body& body, proto::MembershipMessage& out) {
    set_gossip(body.message, body.reply ? *out.mutable_gossip_reply() : *out.mutable_gossip());
}

void to_proto(const probe_request& body, proto::MembershipMessage& out) {
    out.mutable_probe_request()->set_target(body.target.text());
}

void to_proto(const probe_reply& body, proto::MembershipMessage& out) {
    out.mutable_probe_reply()->set_target(body.target.text());
    out.mutable_probe_reply()->set_reached(body.reached);
}

kernel::result<membership::message_body> from_proto(const proto::MembershipMessage& in) {
    if (in.has_gossip() || in.has_gossip_reply()) {
        BOOST_LEAF_AUTO(message, get_gossip(in.has_gossip() ? in.gossip() : in.gossip_reply()));
        return gossip_body{in.has_gossip_reply(), std::move(message)};
    }
    if (in.has_probe_request()) {
        BOOST_LEAF_AUTO(target, internal::checked_identifier<model::instance_id>(
                                    in.probe_request().target(), "target"));
        return probe_request{std::move(target)};
    }
    if (in.has_probe_reply()) {
        BOOST_LEAF_AUTO(target, internal::checked_identifier<model::instance_id>(
                                    in.probe_reply().target(), "target"));
        return probe_reply{std::move(target), in.probe_reply().reached()};
    }
    return boost::leaf::new_error(wire_error{"body", "is missing"});
}

}  // namespace

std::string encode_membership(const membership_payload& payload) {
    proto::MembershipMessage out;
    out.set_message_id(payload.message_id);
    out.set_reply_to(payload.reply_to);
    std::visit([&](const auto& body) { to_proto(body, out); }, payload.body);
    return out.SerializeAsString();
}

kernel::result<membership_payload> decode_membership(std::string_view bytes) {
    BOOST_LEAF_AUTO(in, internal::parse_message<proto::MembershipMessage>(bytes));
    BOOST_LEAF_AUTO(body, from_proto(in));
    return membership_payload{in.message_id(), in.reply_to(), std::move(body)};
}

}  // namespace poplarfront::wire
