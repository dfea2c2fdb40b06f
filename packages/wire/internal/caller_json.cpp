#include "wire/caller_json.h"

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

kernel::result<model::request_id> request_field(const boost::json::object& object,
                                                const model::request_id& generated) {
    if (object.contains("request")) {
        return identifier_field<model::request_id>(object, "request");
    }
    return generated;
}

kernel::result<kernel::time_point> deadline_field(const boost::json::object& object,
                                                  kernel::time_point now) {
    BOOST_LEAF_AUTO(remaining,
                    integer_field(object, "deadline_ms", min_deadline_ms, max_deadline_ms));
    return now + std::chrono::milliseconds{remaining};
}

kernel::result<std::vector<model::service_id>> listed_services(const boost::json::object& object,
                                                               const model::shard_map& map) {
    BOOST_LEAF_AUTO(names, array_field(object, "services"));
    std::vector<model::service_id> services;
    for (const auto& name : names) {
        if (!name.is_string() || !model::is_identifier(std::string{name.get_string()})) {
            return boost::leaf::new_error(wire_error{"services", "must be an array of names"});
        }
        auto id = model::service_id::trusted(std::string{name.get_string()});
        if (map.find_service(id) == nullptr) {
            return boost::leaf::new_error(
                wire_error{"services", "service " + id.text() + " does not exist"});
        }
        services.push_back(std::move(id));
    }
    if (services.empty()) {
        return boost::leaf::new_error(wire_error{"services", "must name at least one service"});
    }
    return services;
}

kernel::result<std::vector<model::service_id>> services_field(const boost::json::object& object,
                                                              const model::shard_map& map) {
    if (!object.contains("group")) {
        return listed_services(object, map);
    }
    BOOST_LEAF_AUTO(group, text_field(object, "group"));
    auto services = map.services_of_group(group);
    if (services.empty()) {
        return boost::leaf::new_error(wire_error{"group", "group does not exist"});
    }
    return services;
}

}  // namespace

kernel::result<model::search_request> decode_search(std::string_view body,
                                                    const model::shard_map& map,
                                                    const model::request_id& generated,
                                                    kernel::time_point now) {
    BOOST_LEAF_AUTO(object, parse_object(body));
    BOOST_LEAF_AUTO(request, request_field(object, generated));
    BOOST_LEAF_AUTO(searcher, identifier_field<model::searcher_id>(object, "searcher"));
    BOOST_LEAF_AUTO(services, services_field(object, map));
    BOOST_LEAF_AUTO(query, text_field(object, "query"));
    BOOST_LEAF_AUTO(deadline, deadline_field(object, now));
    return model::search_request{std::move(request), std::move(searcher), std::move(services),
                                 std::move(query), deadline};
}

std::string encode_answer(const model::search_answer& answer) {
    boost::json::array records;
    for (const auto& record : answer.records) {
        records.push_back(boost::json::object{{"key", record.key}, {"body", record.body}});
    }
    boost::json::array covered;
    boost::json::array missing;
    for (const auto& outcome : answer.shards) {
        const auto name = outcome.shard.service.text() + ":" + outcome.shard.shard.text();
        if (outcome.reason == model::missing_reason::none) {
            covered.emplace_back(name);
        } else {
            missing.push_back(
                boost::json::object{{"shard", name}, {"reason", to_string(outcome.reason)}});
        }
    }
    return boost::json::serialize(boost::json::object{
        {"request", answer.request.text()},
        {"searcher", answer.searcher.text()},
        {"complete", answer.complete()},
        {"index_version", answer.snapshot.version.value},
        {"shard_map_revision", answer.snapshot.map_revision.value},
        {"records", std::move(records)},
        {"covered", std::move(covered)},
        {"missing", std::move(missing)},
    });
}

kernel::result<model::action_request> decode_action(std::string_view body,
                                                    const model::shard_map& map,
                                                    const model::request_id& generated,
                                                    kernel::time_point now) {
    BOOST_LEAF_AUTO(object, parse_object(body));
    BOOST_LEAF_AUTO(request, request_field(object, generated));
    BOOST_LEAF_AUTO(searcher, identifier_field<model::searcher_id>(object, "searcher"));
    BOOST_LEAF_AUTO(service, identifier_field<model::service_id>(object, "service"));
    BOOST_LEAF_AUTO(shard, identifier_field<model::shard_id>(object, "shard"));
    BOOST_LEAF_AUTO(key, identifier_field<model::request_id>(object, "request_key"));
    BOOST_LEAF_AUTO(text, text_field(object, "body"));
    BOOST_LEAF_AUTO(deadline, deadline_field(object, now));
    model::shard_ref target{std::move(service), std::move(shard)};
    if (map.find_shard(target) == nullptr) {
        return boost::leaf::new_error(wire_error{"shard", "service or shard does not exist"});
    }
    return model::action_request{std::move(request), std::move(searcher), std::move(target),
                                 key.text(),         std::move(text),     deadline};
}

std::string encode_outcome(const model::action_request& request,
                           const model::action_outcome& outcome) {
    return boost::json::serialize(boost::json::object{
        {"request", request.request.text()},
        {"searcher", request.searcher.text()},
        {"request_key", request.request_key},
        {"status", to_string(outcome.status)},
        {"reply", outcome.reply},
        {"reason", outcome.reason},
    });
}

std::string encode_refusal(std::string_view type, std::string_view field,
                           std::string_view message) {
    return boost::json::serialize(boost::json::object{
        {"error", boost::json::object{
                      {"type", type}, {"field", field}, {"message", message}, {"not_run", true}}}});
}

}  // namespace poplarfront::wire
