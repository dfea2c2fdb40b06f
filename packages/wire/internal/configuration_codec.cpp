#include "wire/configuration_codec.h"

#include "wire/generated/configuration.pb.h"

namespace poplarfront::wire {
namespace {

void to_proto(const configuration::delta& delta, proto::Delta& out) {
    for (const auto& [place, value] : delta.changes) {
        auto& change = *out.add_changes();
        change.set_header(place.header);
        change.set_key(place.key);
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
        auto& it = *out.add_sections();
        it.set_name(name);
        it.set_revision(section.revision.value);
        it.mutable_blob_keys()->Add(section.blob_keys.begin(), section.blob_keys.end());
        it.set_digest(section.digest);
        it.set_nonce(section.nonce);
    }
    for (const auto& change : head.recent) {
        auto& it = *out.add_recent();
        it.set_revision(change.revision.value);
        it.set_previous(change.previous.value);
        it.set_section(change.section);
        to_proto(change.change, *it.mutable_change());
    }
    out.mutable_nonces()->Add(head.nonces.begin(), head.nonces.end());
}

kernel::result<model::deployment_id> deployment_field(const std::string& text) {
    if (!model::is_identifier(text)) {
        return boost::leaf::new_error(wire_error{"deployment", "is not a valid name"});
    }
    return model::deployment_id::trusted(text);
}

kernel::result<configuration::head> from_proto(const proto::Head& in) {
    configuration::head head;
    BOOST_LEAF_ASSIGN(head.deployment, deployment_field(in.deployment()));
    head.document_revision = {in.document_revision()};
    for (const auto& it : in.sections()) {
        if (it.revision() > in.document_revision()) {
            return boost::leaf::new_error(
                wire_error{"sections", "a section is newer than the document"});
        }
        head.sections.insert_or_assign(
            it.name(), configuration::section_head{{it.revision()},
                                                   {it.blob_keys().begin(), it.blob_keys().end()},
                                                   it.digest(),
                                                   it.nonce()});
    }
    for (const auto& it : in.recent()) {
        head.recent.push_back(
            {{it.revision()}, {it.previous()}, it.section(), from_proto(it.change())});
    }
    head.nonces.assign(in.nonces().begin(), in.nonces().end());
    return head;
}

template <class Message>
kernel::result<Message> parse(std::string_view bytes) {
    Message message;
    if (!message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
        return boost::leaf::new_error(wire_error{"", "is not a valid " + message.GetTypeName()});
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
    BOOST_LEAF_AUTO(message, parse<proto::Head>(bytes));
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
    BOOST_LEAF_AUTO(message, parse<proto::SectionBlob>(bytes));
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
    BOOST_LEAF_AUTO(message, parse<proto::Delta>(bytes));
    return from_proto(message);
}

}  // namespace poplarfront::wire
