#include <algorithm>
#include <array>
#include <map>

#include "capacity/measurement.h"
#include "configuration/section_writer.h"
#include "configuration/tests/fake_cluster.h"

namespace poplarfront::capacity {
namespace {

using namespace configuration;

constexpr double seconds_a_day = 86400;
// The periods of the configuration module: a relay watches the head for 2 s and reads the
// platform's list every 5 s. An accepted change ends each watch early.
constexpr double watch_seconds = 2;
constexpr double list_period_seconds = 5;
constexpr int writes_measured = 10;

/// A store that answers at once and counts calls.
class counting_store {
public:
    store::read_outcome read(const std::string& key, kernel::time_point) {
        ++reads;
        return {store::store_status::ok, values_[key]};
    }
    store::write_outcome compare_and_swap(const std::string& key, std::uint64_t version,
                                          const std::string& bytes, kernel::time_point) {
        ++writes;
        auto& value = values_[key];
        if (value.version != version) {
            return {store::store_status::conflict, value.version};
        }
        value = {bytes, version + 1};
        return {store::store_status::ok, value.version};
    }
    store::read_outcome watch(const std::string& key, std::uint64_t, kernel::time_point deadline) {
        return read(key, deadline);
    }

    double reads = 0;
    double writes = 0;

private:
    std::map<std::string, store::store_value> values_;
};

struct write_cost {
    double accepted = 0;
    double reads = 0;
    double writes = 0;
};

/// Store calls of the section writer for one change.
write_cost measure_writes(std::uint64_t seed) {
    testing::virtual_time time{seed};
    counting_store counted;
    section_writer<counting_store, wire::configuration_store_codec, testing::virtual_time> writer{
        counted, {}, time, model::deployment_id::trusted("d")};
    write_cost cost;
    for (int n = 0; n < writes_measured; ++n) {
        const section_write request{"leaving", "[instances]\ni-" + std::to_string(n) + "=leaving\n",
                                    std::nullopt, "n" + std::to_string(n),
                                    time.now() + std::chrono::seconds{5}};
        cost.accepted += writer.write(request).status == write_status::accepted ? 1 : 0;
    }
    return {cost.accepted / writes_measured, counted.reads / writes_measured,
            counted.writes / writes_measured};
}

double count_relays(std::uint64_t instances, std::uint64_t data_centres, std::uint64_t seed) {
    const testing::fake_cluster cluster{
        {.instances = instances, .data_centres = data_centres, .seed = seed}};
    return static_cast<double>(std::count_if(cluster.instances.begin(), cluster.instances.end(),
                                             [](const auto& it) { return it->watching; }));
}

std::vector<sample> run(const capacity_options& options) {
    constexpr std::array<std::uint64_t, 2> data_centre_counts{4, 12};
    constexpr std::array<double, 2> change_counts{0, 11'000};
    const auto cost = measure_writes(options.seed);
    std::vector<sample> samples;
    for (const auto instances : options.instances) {
        for (const auto data_centres : data_centre_counts) {
            const auto relays = count_relays(instances, data_centres, options.seed);
            for (const auto changes : change_counts) {
                const auto per_second = changes / seconds_a_day;
                const auto follow = relays / watch_seconds + relays / list_period_seconds;
                samples.push_back({{{"instances", static_cast<double>(instances)},
                                    {"data_centres", static_cast<double>(data_centres)},
                                    {"changes_per_day", changes}},
                                   {{"relays", relays},
                                    {"accepted", cost.accepted},
                                    {"reads_per_change", cost.reads},
                                    {"writes_per_change", cost.writes},
                                    {"reads_per_s", follow + (cost.reads + relays) * per_second},
                                    {"writes_per_s", cost.writes * per_second}}});
            }
        }
    }
    return samples;
}

const kernel::extension_point<measurement>::registration registered{
    {"store_calls",
     "whole deployment without claims: relays and calls of the section writer are counted, the "
     "periods of watches and list reads are those of the configuration module",
     {},
     run}};

}  // namespace
}  // namespace poplarfront::capacity
