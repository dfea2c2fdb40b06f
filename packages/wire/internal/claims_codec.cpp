#include "wire/claims_codec.h"

#include <google/protobuf/arena.h>

#include "wire/generated/claims.pb.h"

namespace poplarfront::wire {
namespace {

using at_most_once::claim_bucket;
using at_most_once::claim_record;
using at_most_once::claim_state;

constexpr std::uint32_t current_format = 1;

std::uint32_t encode_state(claim_state state) {
    switch (state) {
        case claim_state::claimed:
            return 0;
        case claim_state::completed:
            return 1;
        case claim_state::released:
            return 2;
    }
    return 0;
}

kernel::result<claim_state> decode_state(std::uint32_t state) {
    switch (state) {
        case 0:
            return claim_state::claimed;
        case 1:
            return claim_state::completed;
        case 2:
            return claim_state::released;
        default:
            return boost::leaf::new_error(wire_error{"state", "is not a state of a claim"});
    }
}

kernel::result<claim_record> decode_record(const proto::ClaimRecord& message) {
    BOOST_LEAF_AUTO(state, decode_state(message.state()));
    if (message.nonce() == 0) {
        return boost::leaf::new_error(wire_error{"nonce", "is missing"});
    }
    return claim_record{message.nonce(), state,
                        at_most_once::wall_time{static_cast<std::int64_t>(message.issued_ms())},
                        message.reply(), message.reply_dropped()};
}

}  // namespace

std::string claims_codec::encode(const claim_bucket& bucket) {
    // Uses an arena, because allocating thousands of records separately would take most of the
    // encoding time.
    google::protobuf::Arena arena;
    auto& message = *google::protobuf::Arena::CreateMessage<proto::ClaimBucket>(&arena);
    message.set_format(current_format);
    for (const auto& [key, record] : bucket.records) {
        auto& added = *message.add_records();
        added.set_searcher_hash(key.searcher_hash);
        added.set_key_hash_low(key.key_hash_low);
        added.set_key_hash_high(key.key_hash_high);
        added.set_nonce(record.nonce);
        added.set_state(encode_state(record.state));
        added.set_issued_ms(static_cast<std::uint64_t>(record.issued.count()));
        added.set_reply(record.reply);
        added.set_reply_dropped(record.reply_dropped);
    }
    return message.SerializeAsString();
}

kernel::result<claim_bucket> claims_codec::decode(std::string_view bytes) {
    if (bytes.empty()) {
        return claim_bucket{};
    }
    google::protobuf::Arena arena;
    auto& message = *google::protobuf::Arena::CreateMessage<proto::ClaimBucket>(&arena);
    if (!message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
        return boost::leaf::new_error(wire_error{"", "is not a claim bucket"});
    }
    if (message.format() != current_format) {
        return boost::leaf::new_error(wire_error{"format", "is not supported"});
    }
    claim_bucket bucket;
    for (const auto& entry : message.records()) {
        BOOST_LEAF_AUTO(record, decode_record(entry));
        bucket.records.insert_or_assign(
            {entry.searcher_hash(), entry.key_hash_low(), entry.key_hash_high()},
            std::move(record));
    }
    return bucket;
}

}  // namespace poplarfront::wire
