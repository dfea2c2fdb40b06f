#include "wire/configuration_codec.h"

#include <limits>

#include "wire/generated/configuration.pb.h"
#include "wire/internal/json_fields.h"
#include "wire/internal/proto_fields.h"

namespace poplarfront::wire {
namespace {

void to_proto(const configuration::delta& delta, proto::Delta& out) {
    for (const auto& [entry, value] : delta.changes) {
        auto& change = *out.add_changes();
        change.set_header(entry.header);
        change.set_key(entry.key);
        if (value) {
            change.set_value(*value);
        }
    }
}

configuration::delta from_proto(const proto::Delta& in) {
    configuration::delta delta;
    for (const auto& change : in.changes()) {
        delta.changes.insert_or_assign(
            {change.header(), change.key()},
            change.has_value() ? std::optional{change.value()} : std::nullopt);
    }
    return delta;
}

void to_proto(const configuration::head& head, proto::Head& out) {
    out.set_deployment(head.deployment.text());
    out.set_document_revision(head.document_revision.value);
    for (const auto& [name, section] : head.sections) {
        auto& out_section = *out.add_sections();
        out_section.set_name(name);
        out_section.set_revision(section.revision.value);
        out_section.mutable_blob_keys()->Add(section.blob_keys.begin(), section.blob_keys.end());
        out_section.set_digest(section.digest);
        out_section.set_nonce(section.nonce);
    }
    for (const auto& change : head.recent_changes) {
        auto& out_change = *out.add_recent();
        out_change.set_revision(change.revision.value);
        out_change.set_previous(change.previous.value);
        out_change.set_section(change.section);
        to_proto(change.delta, *out_change.mutable_change());
    }
    out.mutable_nonces()->Add(head.nonces.begin(), head.nonces.end());
}

kernel::result<model::deployment_id> deployment_field(const std::string& text) {
    return internal::checked_identifier<model::deployment_id>(text, "deployment");
}

kernel::result<configuration::head> from_proto(const proto::Head& in) {
    configuration::head head;
    BOOST_LEAF_ASSIGN(head.deployment, deployment_field(in.deployment()));
    head.document_revision = {in.document_revision()};
    for (const auto& section : in.sections()) {
        if (section.revision() > in.document_revision()) {
            return boost::leaf::new_error(
                wire_error{"sections", "contains a section newer than the document"});
        }
        head.sections.insert_or_assign(
            section.name(),
            configuration::section_head{{section.revision()},
                                        {section.blob_keys().begin(), section.blob_keys().end()},
                                        section.digest(),
                                        section.nonce()});
    }
    for (const auto& change : in.recent()) {
        head.recent_changes.push_back({{change.revision()},
                                       {change.previous()},
                                       change.section(),
                                       from_proto(change.change())});
    }
    head.nonces.assign(in.nonces().begin(), in.nonces().end());
    return head;
}

/// The decoded value, or nothing if the bytes cannot be decoded.
template <class T>
std::optional<T> decode_optional(kernel::result<T> (*decode)(std::string_view),
                                 std::string_view bytes) {
    return kernel::handle<wire_error>(
        [&]() -> kernel::result<std::optional<T>> {
            BOOST_LEAF_AUTO(value, decode(bytes));
            return std::optional<T>{std::move(value)};
        },
        [](const wire_error&) { return std::optional<T>{}; });
}

void to_proto(const configuration::gossip_message& message, proto::ConfigurationMessage& out) {
    auto& gossip = *out.mutable_gossip();
    gossip.set_deployment(message.deployment.text());
    gossip.set_known(message.sender_revision.value);
    gossip.set_kind(static_cast<std::uint32_t>(message.kind));
    if (message.update) {
        to_proto(*message.update, *gossip.mutable_update());
    }
}

void to_proto(const configuration::section_fetch& message, proto::ConfigurationMessage& out) {
    out.mutable_fetch()->set_section(message.section);
    out.mutable_fetch()->set_revision(message.revision.value);
}

void to_proto(const configuration::section_content& message, proto::ConfigurationMessage& out) {
    auto& content = *out.mutable_content();
    content.set_deployment(message.deployment.text());
    content.set_section(message.section);
    content.set_revision(message.revision.value);
    content.set_text(message.text);
}

kernel::result<configuration::gossip_message> from_proto(const proto::ConfigurationGossip& in) {
    configuration::gossip_message message;
    BOOST_LEAF_ASSIGN(message.deployment, deployment_field(in.deployment()));
    message.sender_revision = {in.known()};
    if (in.kind() > static_cast<std::uint32_t>(configuration::gossip_kind::reply)) {
        return boost::leaf::new_error(wire_error{"kind", "has an unknown value"});
    }
    message.kind = static_cast<configuration::gossip_kind>(in.kind());
    if (in.has_update()) {
        BOOST_LEAF_ASSIGN(message.update, from_proto(in.update()));
    }
    return message;
}

}  // namespace

std::string encode_head(const configuration::head& head) {
    proto::Head message;
    to_proto(head, message);
    return message.SerializeAsString();
}

kernel::result<configuration::head> decode_head(std::string_view bytes) {
    BOOST_LEAF_AUTO(message, internal::parse_message<proto::Head>(bytes));
    return from_proto(message);
}

std::string encode_blob(const configuration::section_blob& blob) {
    proto::SectionBlob message;
    message.set_deployment(blob.deployment.text());
    message.set_section(blob.section);
    message.set_nonce(blob.nonce);
    message.set_part(blob.part);
    message.set_parts(blob.parts);
    message.set_text(blob.text);
    return message.SerializeAsString();
}

kernel::result<configuration::section_blob> decode_blob(std::string_view bytes) {
    BOOST_LEAF_AUTO(message, internal::parse_message<proto::SectionBlob>(bytes));
    BOOST_LEAF_AUTO(deployment, deployment_field(message.deployment()));
    if (message.part() >= message.parts()) {
        return boost::leaf::new_error(wire_error{"part", "is not less than the number of parts"});
    }
    return configuration::section_blob{std::move(deployment), message.section(), message.nonce(),
                                       message.part(),        message.parts(),   message.text()};
}

std::string encode_delta(const configuration::delta& delta) {
    proto::Delta message;
    to_proto(delta, message);
    return message.SerializeAsString();
}

kernel::result<configuration::delta> decode_delta(std::string_view bytes) {
    BOOST_LEAF_AUTO(message, internal::parse_message<proto::Delta>(bytes));
    return from_proto(message);
}

std::string encode_announcement(const configuration::announcement& announcement) {
    proto::Announcement message;
    to_proto(announcement.accepted_head, *message.mutable_head());
    for (const auto& [name, text] : announcement.texts) {
        auto& section = *message.add_sections();
        section.set_name(name);
        section.set_revision(announcement.accepted_head.section(name).revision.value);
        section.set_text(text);
    }
    return message.SerializeAsString();
}

kernel::result<configuration::announcement> decode_announcement(std::string_view bytes) {
    BOOST_LEAF_AUTO(message, internal::parse_message<proto::Announcement>(bytes));
    BOOST_LEAF_AUTO(head, from_proto(message.head()));
    configuration::section_texts texts;
    for (const auto& section : message.sections()) {
        texts.insert_or_assign(section.name(), section.text());
    }
    return configuration::announcement{std::move(head), std::move(texts)};
}

std::string encode_configuration_message(const configuration::configuration_message& message) {
    proto::ConfigurationMessage out;
    std::visit([&](const auto& body) { to_proto(body, out); }, message);
    return out.SerializeAsString();
}

kernel::result<configuration::configuration_message> decode_configuration_message(
    std::string_view bytes) {
    BOOST_LEAF_AUTO(in, internal::parse_message<proto::ConfigurationMessage>(bytes));
    if (in.has_gossip()) {
        BOOST_LEAF_AUTO(message, from_proto(in.gossip()));
        return message;
    }
    if (in.has_fetch()) {
        return configuration::section_fetch{in.fetch().section(), {in.fetch().revision()}};
    }
    if (in.has_content()) {
        BOOST_LEAF_AUTO(deployment, deployment_field(in.content().deployment()));
        return configuration::section_content{std::move(deployment),
                                              in.content().section(),
                                              {in.content().revision()},
                                              in.content().text()};
    }
    return boost::leaf::new_error(wire_error{"body", "is missing"});
}

std::string encode_status(const configuration::configuration_status& status) {
    boost::json::object sections;
    for (const auto& [name, revision] : status.sections) {
        sections[name] = revision.value;
    }
    return boost::json::serialize(boost::json::object{{"instance", status.instance.text()},
                                                      {"revision", status.revision.value},
                                                      {"sections", std::move(sections)}});
}

kernel::result<configuration::configuration_status> decode_status(std::string_view body) {
    constexpr auto max_revision = std::numeric_limits<std::int64_t>::max();
    BOOST_LEAF_AUTO(object, internal::parse_object(body));
    BOOST_LEAF_AUTO(instance, internal::identifier_field<model::instance_id>(object, "instance"));
    BOOST_LEAF_AUTO(revision, internal::integer_field(object, "revision", 0, max_revision));
    configuration::configuration_status status{
        std::move(instance), {static_cast<std::uint64_t>(revision)}, {}};
    const auto* sections = object.if_contains("sections");
    if (sections == nullptr || !sections->is_object()) {
        return boost::leaf::new_error(wire_error{"sections", "must be an object"});
    }
    for (const auto& section : sections->get_object()) {
        const std::string name{section.key()};
        BOOST_LEAF_AUTO(n, internal::integer_field(sections->get_object(), name, 0, max_revision));
        status.sections.insert_or_assign(name, model::revision{static_cast<std::uint64_t>(n)});
    }
    return status;
}

std::string configuration_store_codec::encode(const configuration::head& head) const {
    return encode_head(head);
}

std::string configuration_store_codec::encode(const configuration::section_blob& blob) const {
    return encode_blob(blob);
}

std::optional<configuration::head> configuration_store_codec::head(std::string_view bytes) const {
    return decode_optional(decode_head, bytes);
}

std::optional<configuration::section_blob> configuration_store_codec::blob(
    std::string_view bytes) const {
    return decode_optional(decode_blob, bytes);
}

}  // namespace poplarfront::wire
