#include "loadgen/received.h"

#include <boost/json.hpp>
#include <utility>

namespace poplarfront::loadgen {
namespace {

namespace json = boost::json;

kernel::result<json::object> parse_object(std::string_view body) {
    json::error_code ec;
    auto value = json::parse(json::string_view{body.data(), body.size()}, ec);
    if (ec || !value.is_object()) {
        return boost::leaf::new_error(response_error{"body is not a JSON object"});
    }
    return std::move(value.get_object());
}

/// The field as T (json::string, json::array, json::object or bool), or nothing of another type.
template <class T>
kernel::result<T> field(const json::object& object, std::string_view name) {
    const auto* const value = object.if_contains(json::string_view{name.data(), name.size()});
    if (value != nullptr) {
        auto converted = json::try_value_to<T>(*value);
        if (converted) {
            return std::move(*converted);
        }
    }
    return boost::leaf::new_error(
        response_error{"field \"" + std::string{name} + "\" is absent or of a wrong type"});
}

kernel::result<std::vector<model::record>> records_field(const json::object& object) {
    BOOST_LEAF_AUTO(values, field<std::vector<json::object>>(object, "records"));
    std::vector<model::record> records;
    for (const auto& it : values) {
        BOOST_LEAF_AUTO(key, field<std::string>(it, "key"));
        BOOST_LEAF_AUTO(body, field<std::string>(it, "body"));
        records.push_back({std::move(key), std::move(body)});
    }
    return records;
}

}  // namespace

kernel::result<received_answer> decode_answer(std::string_view body) {
    BOOST_LEAF_AUTO(object, parse_object(body));
    received_answer answer;
    BOOST_LEAF_ASSIGN(answer.request, field<std::string>(object, "request"));
    BOOST_LEAF_ASSIGN(answer.searcher, field<std::string>(object, "searcher"));
    BOOST_LEAF_ASSIGN(answer.complete, field<bool>(object, "complete"));
    BOOST_LEAF_ASSIGN(answer.version.value, field<std::uint64_t>(object, "index_version"));
    BOOST_LEAF_ASSIGN(answer.records, records_field(object));
    BOOST_LEAF_ASSIGN(answer.covered, field<std::vector<std::string>>(object, "covered"));
    BOOST_LEAF_AUTO(missing, field<std::vector<json::object>>(object, "missing"));
    for (const auto& it : missing) {
        BOOST_LEAF_AUTO(shard, field<std::string>(it, "shard"));
        answer.missing.push_back(std::move(shard));
    }
    return answer;
}

kernel::result<received_outcome> decode_outcome(std::string_view body) {
    BOOST_LEAF_AUTO(object, parse_object(body));
    received_outcome outcome;
    BOOST_LEAF_ASSIGN(outcome.request, field<std::string>(object, "request"));
    BOOST_LEAF_ASSIGN(outcome.searcher, field<std::string>(object, "searcher"));
    BOOST_LEAF_ASSIGN(outcome.request_key, field<std::string>(object, "request_key"));
    BOOST_LEAF_ASSIGN(outcome.status, field<std::string>(object, "status"));
    BOOST_LEAF_ASSIGN(outcome.reply, field<std::string>(object, "reply"));
    return outcome;
}

kernel::result<received_refusal> decode_refusal(std::string_view body) {
    BOOST_LEAF_AUTO(object, parse_object(body));
    BOOST_LEAF_AUTO(error, field<json::object>(object, "error"));
    received_refusal refusal;
    BOOST_LEAF_ASSIGN(refusal.type, field<std::string>(error, "type"));
    BOOST_LEAF_ASSIGN(refusal.not_run, field<bool>(error, "not_run"));
    return refusal;
}

kernel::result<received_counters> decode_counters(std::string_view body) {
    BOOST_LEAF_AUTO(object, parse_object(body));
    received_counters counters;
    BOOST_LEAF_ASSIGN(counters.since_us, field<std::int64_t>(object, "since_us"));
    BOOST_LEAF_ASSIGN(counters.queries, field<std::uint64_t>(object, "queries"));
    using by_key = std::map<std::string, std::uint64_t>;
    BOOST_LEAF_ASSIGN(counters.actions_executed, field<by_key>(object, "actions_executed"));
    return counters;
}

}  // namespace poplarfront::loadgen
