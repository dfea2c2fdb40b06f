#include "wire/traffic_codec.h"

#include <algorithm>
#include <limits>

#include "wire/generated/peer.pb.h"
#include "wire/internal/proto_fields.h"

namespace poplarfront::wire {
namespace {

using internal::checked_identifier;
using internal::parse_message;

std::uint32_t remaining_ms(kernel::time_point deadline, kernel::time_point now) {
    const auto remaining = std::chrono::duration_cast<std::chrono::milliseconds>(deadline - now);
    return static_cast<std::uint32_t>(
        std::clamp<std::int64_t>(remaining.count(), 0, std::numeric_limits<std::uint32_t>::max()));
}

void to_proto(const model::shard_ref& shard, proto::ShardRef& out) {
    out.set_service(shard.service.text());
    out.set_shard(shard.shard.text());
}

kernel::result<model::shard_ref> from_proto(const proto::ShardRef& in) {
    BOOST_LEAF_AUTO(service, checked_identifier<model::service_id>(in.service(), "service"));
    BOOST_LEAF_AUTO(shard, checked_identifier<model::shard_id>(in.shard(), "shard"));
    return model::shard_ref{std::move(service), std::move(shard)};
}

void to_proto(const routing::shard_result& result, proto::ShardResult& out) {
    to_proto(result.shard, *out.mutable_shard());
    out.set_reason(static_cast<std::uint32_t>(result.reason));
    out.set_index_version(result.version.value);
    for (const auto& record : result.records) {
        auto& added = *out.add_records();
        added.set_key(record.key);
        added.set_body(record.body);
    }
    if (result.versions) {
        out.set_oldest_version(result.versions->oldest.value);
        out.set_newest_version(result.versions->newest.value);
    }
    out.set_crash_symptom(result.crash_symptom);
    for (const auto& server : result.crashed) {
        out.add_crashed(server.text());
    }
}

kernel::result<routing::shard_result> from_proto(const proto::ShardResult& in) {
    routing::shard_result result;
    BOOST_LEAF_ASSIGN(result.shard, from_proto(in.shard()));
    if (in.reason() > static_cast<std::uint32_t>(model::missing_reason::refused)) {
        return boost::leaf::new_error(wire_error{"reason", "has an unknown value"});
    }
    result.reason = static_cast<model::missing_reason>(in.reason());
    result.version = {in.index_version()};
    for (const auto& record : in.records()) {
        result.records.push_back({record.key(), record.body()});
    }
    if (in.newest_version() != 0) {
        result.versions = model::version_range{{in.oldest_version()}, {in.newest_version()}};
    }
    result.crash_symptom = in.crash_symptom();
    for (const auto& server : in.crashed()) {
        BOOST_LEAF_AUTO(id, checked_identifier<model::server_id>(server, "crashed"));
        result.crashed.push_back(std::move(id));
    }
    return result;
}

}  // namespace

std::string encode_batch(const routing::sub_query_batch& batch, kernel::time_point now) {
    proto::SubQueryBatch out;
    out.set_request(batch.request.text());
    out.set_batch(batch.batch);
    out.set_searcher(batch.searcher.text());
    out.set_map_revision(batch.snapshot.map_revision.value);
    out.set_index_version(batch.snapshot.version.value);
    out.set_query(batch.query);
    out.set_remaining_ms(remaining_ms(batch.deadline, now));
    for (const auto& shard : batch.shards) {
        to_proto(shard, *out.add_shards());
    }
    return out.SerializeAsString();
}

kernel::result<routing::sub_query_batch> decode_batch(std::string_view bytes,
                                                      kernel::time_point now) {
    BOOST_LEAF_AUTO(in, parse_message<proto::SubQueryBatch>(bytes));
    routing::sub_query_batch batch;
    BOOST_LEAF_ASSIGN(batch.request,
                      checked_identifier<model::request_id>(in.request(), "request"));
    BOOST_LEAF_ASSIGN(batch.searcher,
                      checked_identifier<model::searcher_id>(in.searcher(), "searcher"));
    batch.batch = in.batch();
    batch.snapshot = {{in.map_revision()}, {in.index_version()}};
    batch.query = in.query();
    batch.deadline = now + std::chrono::milliseconds{in.remaining_ms()};
    for (const auto& shard : in.shards()) {
        BOOST_LEAF_AUTO(ref, from_proto(shard));
        batch.shards.push_back(std::move(ref));
    }
    return batch;
}

std::string encode_batch_result(const routing::sub_query_result& result) {
    proto::SubQueryResult out;
    out.set_request(result.request.text());
    out.set_batch(result.batch);
    out.set_searcher(result.searcher.text());
    for (const auto& shard : result.shards) {
        to_proto(shard, *out.add_shards());
    }
    return out.SerializeAsString();
}

kernel::result<routing::sub_query_result> decode_batch_result(std::string_view bytes) {
    BOOST_LEAF_AUTO(in, parse_message<proto::SubQueryResult>(bytes));
    routing::sub_query_result result;
    BOOST_LEAF_ASSIGN(result.request,
                      checked_identifier<model::request_id>(in.request(), "request"));
    BOOST_LEAF_ASSIGN(result.searcher,
                      checked_identifier<model::searcher_id>(in.searcher(), "searcher"));
    result.batch = in.batch();
    for (const auto& shard : in.shards()) {
        BOOST_LEAF_AUTO(decoded, from_proto(shard));
        result.shards.push_back(std::move(decoded));
    }
    return result;
}

std::string encode_batch_cancel(const batch_cancel& cancel) {
    proto::SubQueryCancel out;
    out.set_request(cancel.request.text());
    out.set_batch(cancel.batch);
    return out.SerializeAsString();
}

kernel::result<batch_cancel> decode_batch_cancel(std::string_view bytes) {
    BOOST_LEAF_AUTO(in, parse_message<proto::SubQueryCancel>(bytes));
    BOOST_LEAF_AUTO(request, checked_identifier<model::request_id>(in.request(), "request"));
    return batch_cancel{std::move(request), in.batch()};
}

std::string encode_action_forward(const action_forward& forward, kernel::time_point now) {
    const auto& action = forward.action;
    proto::ActionForward out;
    out.set_message_id(forward.message_id);
    out.set_request(action.request.text());
    out.set_searcher(action.searcher.text());
    to_proto(action.target, *out.mutable_target());
    out.set_request_key(action.request_key);
    out.set_body(action.body);
    out.set_remaining_ms(remaining_ms(action.deadline, now));
    return out.SerializeAsString();
}

kernel::result<action_forward> decode_action_forward(std::string_view bytes,
                                                     kernel::time_point now) {
    BOOST_LEAF_AUTO(in, parse_message<proto::ActionForward>(bytes));
    if (in.message_id() == 0) {
        return boost::leaf::new_error(wire_error{"message_id", "is missing"});
    }
    model::action_request action;
    BOOST_LEAF_ASSIGN(action.request,
                      checked_identifier<model::request_id>(in.request(), "request"));
    BOOST_LEAF_ASSIGN(action.searcher,
                      checked_identifier<model::searcher_id>(in.searcher(), "searcher"));
    BOOST_LEAF_ASSIGN(action.target, from_proto(in.target()));
    action.request_key = in.request_key();
    action.body = in.body();
    action.deadline = now + std::chrono::milliseconds{in.remaining_ms()};
    return action_forward{in.message_id(), std::move(action)};
}

std::string encode_action_result(const action_result& result) {
    proto::ActionResult out;
    out.set_message_id(result.message_id);
    out.set_request(result.request.text());
    out.set_searcher(result.searcher.text());
    out.set_status(static_cast<std::uint32_t>(result.outcome.status));
    out.set_reply(result.outcome.reply);
    out.set_reason(result.outcome.reason);
    return out.SerializeAsString();
}

kernel::result<action_result> decode_action_result(std::string_view bytes) {
    BOOST_LEAF_AUTO(in, parse_message<proto::ActionResult>(bytes));
    action_result result;
    result.message_id = in.message_id();
    BOOST_LEAF_ASSIGN(result.request,
                      checked_identifier<model::request_id>(in.request(), "request"));
    BOOST_LEAF_ASSIGN(result.searcher,
                      checked_identifier<model::searcher_id>(in.searcher(), "searcher"));
    if (in.status() > static_cast<std::uint32_t>(model::action_status::unknown)) {
        return boost::leaf::new_error(wire_error{"status", "has an unknown value"});
    }
    result.outcome = {static_cast<model::action_status>(in.status()), in.reply(), in.reason()};
    return result;
}

}  // namespace poplarfront::wire
