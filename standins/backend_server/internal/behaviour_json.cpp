#include "backend_server/behaviour_json.h"

#include <algorithm>
#include <array>
#include <boost/json.hpp>
#include <limits>

namespace poplarfront::standins {
namespace {

namespace json = boost::json;

constexpr std::int64_t max_count = 1'000'000;
constexpr std::int64_t max_time = 3'600'000'000;
constexpr double max_factor = 1e6;

kernel::result<json::object> parse_object(std::string_view body) {
    json::error_code ec;
    auto value = json::parse(json::string_view{body.data(), body.size()}, ec);
    if (ec || !value.is_object()) {
        return boost::leaf::new_error(control_error{"", "body is not a JSON object"});
    }
    return std::move(value.get_object());
}

boost::leaf::error_id wrong_type(std::string_view field, std::string_view expected) {
    return boost::leaf::new_error(
        control_error{std::string{field}, "must be " + std::string{expected}});
}

kernel::result<std::int64_t> integer(std::string_view field, const json::value& value,
                                     std::int64_t minimum, std::int64_t maximum) {
    if (!value.is_int64() || value.get_int64() < minimum || value.get_int64() > maximum) {
        return wrong_type(
            field, "an integer from " + std::to_string(minimum) + " to " + std::to_string(maximum));
    }
    return value.get_int64();
}

kernel::result<double> number(std::string_view field, const json::value& value) {
    const double parsed = value.is_number() ? value.to_number<double>() : -1.0;
    if (!(parsed >= 0.0 && parsed <= max_factor)) {
        return wrong_type(field, "a number from 0 to 1000000");
    }
    return parsed;
}

kernel::result<bool> boolean(std::string_view field, const json::value& value) {
    if (!value.is_bool()) {
        return wrong_type(field, "true or false");
    }
    return value.get_bool();
}

kernel::result<std::string> text(std::string_view field, const json::value& value) {
    if (!value.is_string()) {
        return wrong_type(field, "a string");
    }
    return std::string{value.get_string()};
}

kernel::result<std::vector<std::string>> names(std::string_view field, const json::value& value) {
    if (!value.is_array()) {
        return wrong_type(field, "an array of strings");
    }
    std::vector<std::string> parsed;
    for (const auto& it : value.get_array()) {
        BOOST_LEAF_AUTO(name, text(field, it));
        parsed.push_back(std::move(name));
    }
    return parsed;
}

kernel::result<load_report> report_kind(std::string_view field, const json::value& value) {
    BOOST_LEAF_AUTO(name, text(field, value));
    if (name == "exact") {
        return load_report::exact;
    }
    if (name == "lagging") {
        return load_report::lagging;
    }
    if (name == "fixed") {
        return load_report::fixed;
    }
    return wrong_type(field, "exact, lagging or fixed");
}

kernel::result<std::vector<shard_layout>> layouts(std::string_view field, const json::value& value,
                                                  std::vector<shard_layout> previous) {
    if (!value.is_object()) {
        return wrong_type(field, "an object");
    }
    std::int64_t from = 0;
    bool keep_previous = false;
    std::vector<std::string> held;
    std::vector<std::string> all;
    for (const auto& [key, part] : value.get_object()) {
        if (key == "from_revision") {
            BOOST_LEAF_ASSIGN(from, integer("layout.from_revision", part, 0,
                                            std::numeric_limits<std::int64_t>::max()));
        } else if (key == "shards") {
            BOOST_LEAF_ASSIGN(held, names("layout.shards", part));
        } else if (key == "service_shards") {
            BOOST_LEAF_ASSIGN(all, names("layout.service_shards", part));
        } else if (key == "keep_previous") {
            BOOST_LEAF_ASSIGN(keep_previous, boolean("layout.keep_previous", part));
        } else {
            return wrong_type("layout." + std::string{key}, "absent; the field is not known");
        }
    }
    BOOST_LEAF_AUTO(layout, make_layout({static_cast<std::uint64_t>(from)}, held, all));
    if (!keep_previous) {
        previous.clear();
    }
    std::erase_if(previous, [&](const auto& it) { return it.from >= layout.from; });
    previous.push_back(std::move(layout));
    return previous;
}

template <class Unit, class Target>
kernel::result<void> assign_time(std::string_view field, const json::value& value, Target& target) {
    BOOST_LEAF_AUTO(count, integer(field, value, 0, max_time));
    target = Unit{count};
    return {};
}

template <class Target>
kernel::result<void> assign_integer(std::string_view field, const json::value& value,
                                    std::int64_t minimum, Target& target) {
    BOOST_LEAF_AUTO(count, integer(field, value, minimum, max_count));
    target = static_cast<Target>(count);
    return {};
}

kernel::result<void> apply_field(std::string_view field, const json::value& value,
                                 backend_behaviour& behaviour) {
    using std::chrono::microseconds;
    using std::chrono::milliseconds;
    if (field == "slots") {
        return assign_integer(field, value, 1, behaviour.slots);
    }
    if (field == "queue") {
        return assign_integer(field, value, 0, behaviour.queue);
    }
    if (field == "latency_us") {
        return assign_time<microseconds>(field, value, behaviour.latency);
    }
    if (field == "cold_start_ms") {
        return assign_time<milliseconds>(field, value, behaviour.cold_start);
    }
    if (field == "load_lag_ms") {
        return assign_time<milliseconds>(field, value, behaviour.report_lag);
    }
    if (field == "oldest_version") {
        return assign_integer(field, value, 0, behaviour.versions.oldest.value);
    }
    if (field == "newest_version") {
        return assign_integer(field, value, 0, behaviour.versions.newest.value);
    }
    if (field == "latency_sigma") {
        BOOST_LEAF_ASSIGN(behaviour.latency_sigma, number(field, value));
    } else if (field == "straggle_factor") {
        BOOST_LEAF_ASSIGN(behaviour.straggle_factor, number(field, value));
    } else if (field == "cold_factor") {
        BOOST_LEAF_ASSIGN(behaviour.cold_factor, number(field, value));
    } else if (field == "load") {
        BOOST_LEAF_ASSIGN(behaviour.fixed_load, number(field, value));
    } else if (field == "load_report") {
        BOOST_LEAF_ASSIGN(behaviour.report, report_kind(field, value));
    } else if (field == "draining") {
        BOOST_LEAF_ASSIGN(behaviour.draining, boolean(field, value));
    } else if (field == "crash_text") {
        BOOST_LEAF_ASSIGN(behaviour.crash_text, text(field, value));
    } else if (field == "layout") {
        BOOST_LEAF_ASSIGN(behaviour.layouts, layouts(field, value, behaviour.layouts));
    } else {
        return wrong_type(field, "absent; the field is not known");
    }
    return {};
}

}  // namespace

kernel::result<backend_behaviour> apply_control(std::string_view body,
                                                backend_behaviour behaviour) {
    BOOST_LEAF_AUTO(object, parse_object(body));
    for (const auto& [field, value] : object) {
        BOOST_LEAF_CHECK(apply_field(field, value, behaviour));
    }
    if (behaviour.versions.newest < behaviour.versions.oldest) {
        return wrong_type("newest_version", "at least oldest_version");
    }
    return behaviour;
}

kernel::result<cancel_target> decode_cancel(std::string_view body) {
    BOOST_LEAF_AUTO(object, parse_object(body));
    const auto* const request = object.if_contains("request");
    const auto* const attempt = object.if_contains("attempt");
    if (request == nullptr || attempt == nullptr) {
        return wrong_type("request", "given together with attempt");
    }
    BOOST_LEAF_AUTO(name, text("request", *request));
    BOOST_LEAF_AUTO(number,
                    integer("attempt", *attempt, 0, std::numeric_limits<std::uint32_t>::max()));
    if (!model::is_identifier(name)) {
        return wrong_type("request", "an identifier");
    }
    return cancel_target{model::request_id::trusted(std::move(name)),
                         static_cast<std::uint32_t>(number)};
}

std::string encode_counters(const std::string& name, const backend_counters& counters,
                            std::size_t connections) {
    json::object replies;
    for (const auto& [status, count] : counters.replies) {
        replies[to_string(status)] = count;
    }
    json::object searchers;
    for (const auto& [searcher, count] : counters.executed_by_searcher) {
        searchers[searcher.text()] = count;
    }
    json::object actions;
    for (const auto& [key, count] : counters.actions_executed) {
        actions[key] = count;
    }
    return json::serialize(json::object{
        {"name", name},
        {"since_us", counters.since.count()},
        {"queries", counters.queries},
        {"queries_executed", counters.queries_executed},
        {"actions", counters.actions},
        {"cancels", counters.cancels},
        {"cancelled", counters.cancelled},
        {"crashes", counters.crashes},
        {"connections", connections},
        {"replies", std::move(replies)},
        {"executed_by_searcher", std::move(searchers)},
        {"actions_executed", std::move(actions)},
    });
}

}  // namespace poplarfront::standins
