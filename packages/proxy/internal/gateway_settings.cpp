#include "proxy/gateway_settings.h"

#include <chrono>

namespace poplarfront::proxy {
namespace {

std::chrono::milliseconds ms(const kernel::settings& settings, std::string_view key) {
    return std::chrono::milliseconds{settings.integer("gateway", key)};
}

}  // namespace

std::vector<kernel::setting_descriptor> gateway_settings() {
    using kernel::setting_kind;
    constexpr std::int64_t max_connections = 100'000;
    constexpr std::int64_t max_ms = 600'000;
    constexpr std::int64_t max_slack = 1'000'000;
    constexpr std::int64_t min_memory_mb = 16;
    constexpr std::int64_t max_memory_mb = 1'000'000;
    return {
        {"gateway", "clients", setting_kind::address, 0, 0, std::nullopt, "IP:PORT for clients"},
        {"gateway", "ready", setting_kind::address, 0, 0, std::nullopt,
         "IP:PORT at which the load balancer checks whether the instance is ready"},
        {"gateway", "max_connections", setting_kind::integer, 1, max_connections, "1024",
         "maximum number of client connections of each traffic thread"},
        {"gateway", "stop_delay_ms", setting_kind::integer, 0, max_ms, "2500",
         "time after the beginning of a stop during which new requests are accepted, in ms"},
        {"gateway", "drain_ms", setting_kind::integer, 0, max_ms, "5500",
         "maximum duration of a stop, including stop_delay_ms, in ms"},
        {"gateway", "memory_mb", setting_kind::integer, min_memory_mb, max_memory_mb, "112",
         "memory that the process may use, in MB; an eighth of it is for the bodies of replies "
         "that "
         "are being received"},
        {"gateway", "answer_margin_ms", setting_kind::integer, 0, max_ms, "10",
         "time before the objective of its route at which an incomplete gather is answered, in ms",
         true},
        {"gateway", "extra_ratio", setting_kind::decimal, 0, 1, "0.2",
         "hedges and retries to a service allowed per request, for all instances together", true},
        {"gateway", "extra_slack", setting_kind::decimal, 0, max_slack, "100",
         "hedges and retries to a service allowed beyond extra_ratio in 10 s, for all instances "
         "together",
         true},
    };
}

gateway::session_options session_options_from(const kernel::settings& settings) {
    // The ratio stays below the allowed one, because the owners of the backend servers count hedges
    // and retries in windows that may begin at any time.
    constexpr double ratio_fraction = 0.9;
    gateway::session_options options;
    options.answer_margin = ms(settings, "answer_margin_ms");
    options.extra_ratio = ratio_fraction * settings.decimal("gateway", "extra_ratio");
    options.extra_slack = settings.decimal("gateway", "extra_slack");
    options.data_centre = settings.text("instance", "data_centre");
    return options;
}

front_server_options front_server_options_from(const kernel::settings& settings) {
    front_server_options options;
    options.address = settings.text("gateway", "clients");
    options.max_connections =
        static_cast<std::size_t>(settings.integer("gateway", "max_connections"));
    options.stop_delay = ms(settings, "stop_delay_ms");
    options.drain_timeout = ms(settings, "drain_ms");
    return options;
}

backend_pool_options backend_pool_options_from(const kernel::settings& settings,
                                               std::size_t thread_count) {
    // While a body grows, its buffer may be up to twice as large, and its old content is copied.
    constexpr std::size_t incomplete_reply_divisor = 8;
    constexpr std::size_t bytes_per_mb = 1'000'000;
    const auto memory =
        static_cast<std::size_t>(settings.integer("gateway", "memory_mb")) * bytes_per_mb;
    backend_pool_options options;
    options.max_incomplete_reply_bytes = memory / incomplete_reply_divisor / thread_count;
    return options;
}

}  // namespace poplarfront::proxy
