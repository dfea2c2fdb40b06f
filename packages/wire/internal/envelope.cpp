#include "wire/envelope.h"

#include <google/protobuf/stubs/logging.h>

#include "wire/generated/peer.pb.h"
#include "wire/internal/proto_fields.h"

namespace poplarfront::wire {
namespace {

/// Suppresses the lines that the library writes to the standard error for many malformed messages,
/// outside of the limits of the log. The callers of the decoders log the returned errors.
const google::protobuf::LogSilencer library_log_silencer;

}  // namespace

std::string encode_envelope(const envelope& message) {
    proto::Envelope out;
    out.set_protocol_version(protocol_version);
    out.set_deployment(message.deployment.text());
    out.set_sender(message.sender.text());
    out.set_sender_incarnation(message.sender_incarnation.value);
    out.set_kind(static_cast<std::uint32_t>(message.kind));
    out.set_payload(message.payload);
    return out.SerializeAsString();
}

kernel::result<envelope> decode_envelope(std::string_view bytes,
                                         const model::deployment_id& own_deployment) {
    BOOST_LEAF_AUTO(in, internal::parse_message<proto::Envelope>(bytes));
    if (in.protocol_version() == 0 || in.protocol_version() > protocol_version) {
        return boost::leaf::new_error(
            wire_error{"protocol_version",
                       "version " + std::to_string(in.protocol_version()) + " is not supported"});
    }
    if (in.deployment() != own_deployment.text()) {
        return boost::leaf::new_error(
            wire_error{"deployment", "is not the deployment of this instance"});
    }
    BOOST_LEAF_AUTO(sender,
                    internal::checked_identifier<model::instance_id>(in.sender(), "sender"));
    if (in.kind() < static_cast<std::uint32_t>(message_kind::sub_query_batch) ||
        in.kind() > static_cast<std::uint32_t>(message_kind::gather_warm_up)) {
        return boost::leaf::new_error(wire_error{"kind", "has an unknown value"});
    }
    return envelope{own_deployment,
                    std::move(sender),
                    {in.sender_incarnation()},
                    static_cast<message_kind>(in.kind()),
                    std::move(*in.mutable_payload())};
}

}  // namespace poplarfront::wire
