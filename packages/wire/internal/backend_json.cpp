#include "wire/backend_json.h"

#include <algorithm>
#include <array>
#include <boost/json.hpp>
#include <limits>

#include "wire/internal/json_fields.h"

namespace poplarfront::wire {
namespace {

using internal::array_field;
using internal::identifier_field;
using internal::integer_field;
using internal::parse_object;
using internal::text_field;

constexpr auto max_integer = std::numeric_limits<std::int64_t>::max();
constexpr std::int64_t max_remaining_ms = 600'000;

std::int64_t remaining_ms(kernel::time_point deadline, kernel::time_point now) {
    const auto remaining = std::chrono::duration_cast<std::chrono::milliseconds>(deadline - now);
    return std::max<std::int64_t>(remaining.count(), 0);
}

kernel::result<model::attempt_status> status_field(const boost::json::object& object) {
    BOOST_LEAF_AUTO(text, text_field(object, "status"));
    constexpr std::array known{
        model::attempt_status::ok,        model::attempt_status::shed,
        model::attempt_status::draining,  model::attempt_status::version_unavailable,
        model::attempt_status::wrong_map, model::attempt_status::bad_request,
    };
    const auto* const it = std::find_if(known.begin(), known.end(),
                                        [&](auto status) { return to_string(status) == text; });
    if (it == known.end()) {
        return boost::leaf::new_error(
            wire_error{"status", "has the unknown value \"" + text + "\""});
    }
    return *it;
}

kernel::result<std::vector<model::record>> records_field(const boost::json::object& object) {
    BOOST_LEAF_AUTO(values, array_field(object, "records"));
    std::vector<model::record> records;
    records.reserve(values.size());
    for (const auto& value : values) {
        if (!value.is_object()) {
            return boost::leaf::new_error(wire_error{"records", "must hold objects"});
        }
        BOOST_LEAF_AUTO(key, text_field(value.get_object(), "key"));
        BOOST_LEAF_AUTO(body, text_field(value.get_object(), "body"));
        records.push_back({std::move(key), std::move(body)});
    }
    return records;
}

kernel::result<model::shard_ref> shard_field(const boost::json::object& object) {
    BOOST_LEAF_AUTO(service, identifier_field<model::service_id>(object, "service"));
    BOOST_LEAF_AUTO(shard, identifier_field<model::shard_id>(object, "shard"));
    return model::shard_ref{std::move(service), std::move(shard)};
}

}  // namespace

std::string encode_attempt(const model::shard_attempt& attempt, kernel::time_point now) {
    return boost::json::serialize(boost::json::object{
        {"request", attempt.request.text()},
        {"attempt", attempt.attempt},
        {"searcher", attempt.searcher.text()},
        {"service", attempt.shard.service.text()},
        {"shard", attempt.shard.shard.text()},
        {"server", attempt.server.text()},
        {"map_revision", attempt.snapshot.map_revision.value},
        {"index_version", attempt.snapshot.version.value},
        {"query", attempt.query},
        {"deadline_ms", remaining_ms(attempt.deadline, now)},
    });
}

kernel::result<model::shard_attempt> decode_attempt(std::string_view body, kernel::time_point now) {
    BOOST_LEAF_AUTO(object, parse_object(body));
    BOOST_LEAF_AUTO(request, identifier_field<model::request_id>(object, "request"));
    BOOST_LEAF_AUTO(attempt,
                    integer_field(object, "attempt", 0, std::numeric_limits<std::uint32_t>::max()));
    BOOST_LEAF_AUTO(searcher, identifier_field<model::searcher_id>(object, "searcher"));
    BOOST_LEAF_AUTO(shard, shard_field(object));
    BOOST_LEAF_AUTO(server, identifier_field<model::server_id>(object, "server"));
    BOOST_LEAF_AUTO(map_revision, integer_field(object, "map_revision", 0, max_integer));
    BOOST_LEAF_AUTO(version, integer_field(object, "index_version", 0, max_integer));
    BOOST_LEAF_AUTO(query, text_field(object, "query"));
    BOOST_LEAF_AUTO(remaining, integer_field(object, "deadline_ms", 0, max_remaining_ms));
    return model::shard_attempt{
        std::move(request),
        static_cast<std::uint32_t>(attempt),
        std::move(searcher),
        std::move(shard),
        std::move(server),
        {{static_cast<std::uint64_t>(map_revision)}, {static_cast<std::uint64_t>(version)}},
        std::move(query),
        now + std::chrono::milliseconds{remaining}};
}

std::string encode_attempt_reply(const model::attempt_reply& reply) {
    boost::json::array records;
    for (const auto& record : reply.records) {
        records.push_back(boost::json::object{{"key", record.key}, {"body", record.body}});
    }
    const auto versions = reply.versions.value_or(model::version_range{});
    return boost::json::serialize(boost::json::object{
        {"request", reply.request.text()},
        {"attempt", reply.attempt},
        {"searcher", reply.searcher.text()},
        {"service", reply.shard.service.text()},
        {"shard", reply.shard.shard.text()},
        {"server", reply.server.text()},
        {"status", to_string(reply.status)},
        {"index_version", reply.version.value},
        {"oldest_version", versions.oldest.value},
        {"newest_version", versions.newest.value},
        {"load", reply.reported_load},
        {"records", std::move(records)},
    });
}

kernel::result<model::attempt_reply> decode_attempt_reply(std::string_view body) {
    BOOST_LEAF_AUTO(object, parse_object(body));
    model::attempt_reply reply;
    BOOST_LEAF_ASSIGN(reply.request, identifier_field<model::request_id>(object, "request"));
    BOOST_LEAF_AUTO(attempt,
                    integer_field(object, "attempt", 0, std::numeric_limits<std::uint32_t>::max()));
    reply.attempt = static_cast<std::uint32_t>(attempt);
    BOOST_LEAF_ASSIGN(reply.searcher, identifier_field<model::searcher_id>(object, "searcher"));
    BOOST_LEAF_ASSIGN(reply.shard, shard_field(object));
    BOOST_LEAF_ASSIGN(reply.server, identifier_field<model::server_id>(object, "server"));
    BOOST_LEAF_ASSIGN(reply.status, status_field(object));
    BOOST_LEAF_AUTO(version, integer_field(object, "index_version", 0, max_integer));
    BOOST_LEAF_AUTO(oldest, integer_field(object, "oldest_version", 0, max_integer));
    BOOST_LEAF_AUTO(newest, integer_field(object, "newest_version", 0, max_integer));
    reply.version = {static_cast<std::uint64_t>(version)};
    reply.versions = model::version_range{{static_cast<std::uint64_t>(oldest)},
                                          {static_cast<std::uint64_t>(newest)}};
    if (const auto* load = object.if_contains("load"); load != nullptr && load->is_number()) {
        reply.reported_load = load->to_number<double>();
    }
    BOOST_LEAF_ASSIGN(reply.records, records_field(object));
    return reply;
}

std::string encode_cancel(const model::request_id& request, std::uint32_t attempt) {
    return boost::json::serialize(
        boost::json::object{{"request", request.text()}, {"attempt", attempt}});
}

std::string encode_backend_action(const model::action_request& action, kernel::time_point now) {
    return boost::json::serialize(boost::json::object{
        {"request", action.request.text()},
        {"searcher", action.searcher.text()},
        {"service", action.target.service.text()},
        {"shard", action.target.shard.text()},
        {"request_key", action.request_key},
        {"body", action.body},
        {"deadline_ms", remaining_ms(action.deadline, now)},
    });
}

kernel::result<model::action_request> decode_backend_action(std::string_view body,
                                                            kernel::time_point now) {
    BOOST_LEAF_AUTO(object, parse_object(body));
    BOOST_LEAF_AUTO(request, identifier_field<model::request_id>(object, "request"));
    BOOST_LEAF_AUTO(searcher, identifier_field<model::searcher_id>(object, "searcher"));
    BOOST_LEAF_AUTO(target, shard_field(object));
    BOOST_LEAF_AUTO(key, text_field(object, "request_key"));
    BOOST_LEAF_AUTO(text, text_field(object, "body"));
    BOOST_LEAF_AUTO(remaining, integer_field(object, "deadline_ms", 0, max_remaining_ms));
    return model::action_request{std::move(request), std::move(searcher),
                                 std::move(target),  std::move(key),
                                 std::move(text),    now + std::chrono::milliseconds{remaining}};
}

std::string encode_backend_action_reply(const backend_action_reply& reply) {
    return boost::json::serialize(boost::json::object{
        {"request", reply.request.text()},
        {"searcher", reply.searcher.text()},
        {"status", to_string(reply.status)},
        {"reply", reply.reply},
    });
}

kernel::result<backend_action_reply> decode_backend_action_reply(std::string_view body) {
    BOOST_LEAF_AUTO(object, parse_object(body));
    backend_action_reply reply;
    BOOST_LEAF_ASSIGN(reply.request, identifier_field<model::request_id>(object, "request"));
    BOOST_LEAF_ASSIGN(reply.searcher, identifier_field<model::searcher_id>(object, "searcher"));
    BOOST_LEAF_ASSIGN(reply.status, status_field(object));
    BOOST_LEAF_ASSIGN(reply.reply, text_field(object, "reply"));
    return reply;
}

}  // namespace poplarfront::wire
