#include <algorithm>

#include "capacity/heap.h"
#include "capacity/measurement.h"
#include "configuration/active_configuration.h"
#include "configuration/tests/fake_cluster.h"

namespace poplarfront::capacity {
namespace {

using namespace configuration;
using std::chrono::seconds;

constexpr int changes_measured = 5;
constexpr std::uint64_t shards_per_service = 280;
constexpr double milliseconds_per_second = 1000;

head empty_head() {
    return {model::deployment_id::trusted("d"), {}, {}, {}, {}};
}

std::string shards_text(std::uint64_t servers) {
    std::string text;
    for (std::uint64_t n = 0; n < servers; ++n) {
        text += "[server s-" + std::to_string(n) + "]\naddress=10.0." + std::to_string(n / 250) +
                "." + std::to_string(n % 250) + ":9000\ndata_centre=dc-" + std::to_string(n % 12) +
                "\n";
    }
    for (std::uint64_t n = 0; n < servers / 2; ++n) {
        const auto header = "[service v-" + std::to_string(n / shards_per_service) + "]\n";
        text += (n % shards_per_service == 0 ? header : "") + "shard." +
                std::to_string(n % shards_per_service) + "=s-" + std::to_string(2 * n) + " s-" +
                std::to_string(2 * n + 1) + "\n";
    }
    return text;
}

/// Applies changes of one entry of the shards section on one instance.
sample measure_section(std::uint64_t servers) {
    const auto text = shards_text(servers);
    auto document = section_document::parse("shards", text).value();
    auto accepted = empty_head().accept("shards", {{}, {}, digest_of(document.text()), "n"}, {});
    const auto heap_before = heap_bytes();
    active_configuration active{model::deployment_id::trusted("d")};
    const auto first_before = processor_seconds();
    const auto first = active.apply(accepted, {{"shards", document.text()}});
    const auto first_seconds = processor_seconds() - first_before;
    const auto heap = heap_bytes() - heap_before;
    double total = 0;
    double applied = first.status == apply_status::applied ? 1 : 0;
    for (int n = 0; n < changes_measured; ++n) {
        const auto next = apply(document, {{{{"server s-0", "slots"}, std::to_string(3 + n)}}});
        const auto since = accepted.document_revision;
        accepted = accepted.accept("shards", {{}, {}, digest_of(next.text()), std::to_string(n)},
                                   difference(document, next));
        document = next;
        const auto update = accepted.update_since(since);
        const auto before = processor_seconds();
        applied += active.apply(update).status == apply_status::applied ? 1 : 0;
        total += processor_seconds() - before;
    }
    return {{{"servers", static_cast<double>(servers)}},
            {{"applied", applied},
             {"text_bytes", static_cast<double>(text.size())},
             {"first_ms", first_seconds * milliseconds_per_second},
             {"change_ms", total / changes_measured * milliseconds_per_second},
             {"heap_bytes", static_cast<double>(heap)}}};
}

std::vector<sample> run_section(const capacity_options& options) {
    std::vector<sample> samples;
    for (const auto servers : options.servers) {
        samples.push_back(measure_section(servers));
    }
    return samples;
}

/// Spreads changes of a small section, so that 3,000 copies of it fit in memory.
class configuration_spread_run {
public:
    configuration_spread_run(std::uint64_t instances, std::uint64_t seed)
        : instances_(static_cast<double>(instances)),
          cluster_({.instances = instances,
                    .data_centres = instances > 100 ? 12U : 4U,
                    .seed = seed,
                    .lost_messages = 0.001,
                    .slow_messages = 0.001}) {
        cluster_.time.run_until(cluster_.time.now() + seconds{3});
        cluster_.counts_bytes = true;
    }

    sample measure() {
        constexpr seconds idle{10};
        constexpr seconds period{6};
        const auto idle_cost = run_for(idle);
        const auto idle_seconds = static_cast<double>(idle.count());
        const auto scale = static_cast<double>(period.count()) / idle_seconds;
        double cpu = 0;
        double bytes = 0;
        for (int n = 0; n < changes_measured; ++n) {
            accept(n);
            const auto accepted_at = cluster_.time.now();
            const auto total = run_for(period);
            cpu += total.cpu - idle_cost.cpu * scale;
            bytes += total.bytes - idle_cost.bytes * scale;
            take_delays(accepted_at);
        }
        std::sort(delays_.begin(), delays_.end());
        const auto each = changes_measured * instances_;
        return {{{"instances", instances_}},
                {{"reached", static_cast<double>(delays_.size()) / each},
                 {"idle_cpu_s_per_s", idle_cost.cpu / idle_seconds / instances_},
                 {"idle_bytes_per_s", idle_cost.bytes / idle_seconds / instances_},
                 {"change_cpu_s", cpu / each},
                 {"change_bytes", bytes / each},
                 {"force_p50_ms", quantile(0.5)},
                 {"force_p999_ms", quantile(0.999)}}};
    }

private:
    struct cost {
        double cpu = 0;
        double bytes = 0;
    };

    cost run_for(kernel::duration time) {
        cluster_.bytes_sent = 0;
        const auto before = processor_seconds();
        cluster_.time.run_until(cluster_.time.now() + time);
        return {processor_seconds() - before, static_cast<double>(cluster_.bytes_sent)};
    }

    void accept(int n) {
        const auto next =
            apply(document_, {{{{"instances", "i-" + std::to_string(n)}, "leaving"}}});
        current_ = current_.accept("leaving", {{}, {}, digest_of(next.text()), "n"},
                                   difference(document_, next));
        document_ = next;
        cluster_.store.values[head_key] = {wire::encode_head(current_),
                                           current_.document_revision.value};
        cluster_.store.on_write(head_key);
    }

    void take_delays(kernel::time_point accepted_at) {
        for (const auto& it : cluster_.nodes) {
            const auto reached = it->applied_at.lower_bound(current_.document_revision.value);
            if (reached != it->applied_at.end()) {
                delays_.push_back(
                    std::chrono::duration<double, std::milli>(reached->second - accepted_at)
                        .count());
            }
        }
    }

    [[nodiscard]] double quantile(double part) const {
        const auto last = static_cast<double>(delays_.size()) - 1;
        return delays_.empty() ? 0 : delays_[static_cast<std::size_t>(part * last)];
    }

    double instances_;
    testing::fake_cluster cluster_;
    head current_ = empty_head();
    section_document document_ = section_document::parse("leaving", "").value();
    std::vector<double> delays_;
};

std::vector<sample> run_spread(const capacity_options& options) {
    std::vector<sample> samples;
    for (const auto instances : options.instances) {
        samples.push_back(configuration_spread_run{instances, options.seed}.measure());
    }
    return samples;
}

const kernel::extension_point<measurement>::registration section_registered{
    {"configuration_section",
     "one instance applies changes of one entry of the shards section; heap after the first head",
     {"servers"},
     run_section}};

const kernel::extension_point<measurement>::registration spread_registered{
    {"configuration_spread",
     "per instance, a small section; processor time includes the simulated network",
     {"instances"},
     run_spread}};

}  // namespace
}  // namespace poplarfront::capacity
