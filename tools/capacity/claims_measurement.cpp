#include <array>
#include <map>
#include <string>

#include "at_most_once/claim_table.h"
#include "capacity/heap.h"
#include "capacity/measurement.h"
#include "kernel/clock_and_random_sources.h"
#include "wire/claims_codec.h"

namespace poplarfront::capacity {
namespace {

using namespace at_most_once;
using std::chrono::milliseconds;

constexpr milliseconds store_latency{2};
constexpr milliseconds step{1};
constexpr std::uint64_t run_steps = 5'000;
constexpr double steps_per_second = 1000;

/// Completes each call a fixed time after it was made.
class delayed_store {
public:
    explicit delayed_store(const kernel::manual_clock& clock) : clock_(clock) {}

    void read(store::call_id call, const std::string& key) {
        reads_.emplace(clock_.now() + store_latency, std::pair{call, key});
    }
    void compare_and_swap(store::call_id call, const std::string& key, std::uint64_t version,
                          const std::string& bytes) {
        bytes_written += bytes.size();
        auto& value = values_[key];
        store::write_outcome outcome{store::store_status::conflict, value.version};
        if (value.version == version) {
            value = {bytes, version + 1};
            outcome = {store::store_status::ok, value.version};
        }
        writes_.emplace(clock_.now() + store_latency, std::pair{call, outcome});
    }

    template <class Table>
    void deliver(Table& table) {
        while (!reads_.empty() && reads_.begin()->first <= clock_.now()) {
            const auto [call, key] = reads_.extract(reads_.begin()).mapped();
            table.on_read(call, {store::store_status::ok, values_[key]});
        }
        while (!writes_.empty() && writes_.begin()->first <= clock_.now()) {
            const auto [call, outcome] = writes_.extract(writes_.begin()).mapped();
            table.on_write(call, outcome);
        }
    }

    std::uint64_t bytes_written = 0;

private:
    const kernel::manual_clock& clock_;
    std::map<std::string, store::store_value> values_;
    std::multimap<kernel::time_point, std::pair<store::call_id, std::string>> reads_;
    std::multimap<kernel::time_point, std::pair<store::call_id, store::write_outcome>> writes_;
};

struct claim_setup {
    std::uint32_t buckets;
    milliseconds window;
    std::size_t max_batch;
};

// The last one has batching off.
constexpr std::array<claim_setup, 4> setups{{{1024, milliseconds{2}, 4096},
                                             {64, milliseconds{20}, 4096},
                                             {16, milliseconds{20}, 4096},
                                             {1024, milliseconds{2}, 1}}};

/// One table makes all claims, as if each bucket's home never changed.
sample measure(const claim_setup& setup, std::uint64_t actions_per_second, std::uint64_t seed) {
    kernel::manual_clock clock;
    kernel::seeded_random_source random{seed};
    delayed_store values{clock};
    claim_policy policy;
    policy.buckets = setup.buckets;
    policy.batch_window = setup.window;
    policy.max_batch = setup.max_batch;
    claim_table<kernel::manual_clock, kernel::seeded_random_source, delayed_store,
                wire::claims_codec>
        table{clock, random, values, policy};
    constexpr wall_time wall{1'700'000'000'000};
    std::uint64_t refused = 0;
    double owed = 0;
    const auto before = processor_seconds();
    for (std::uint64_t n = 0; n < run_steps; ++n) {
        const auto elapsed = wall + milliseconds{n};
        owed += static_cast<double>(actions_per_second) / steps_per_second;
        for (; owed >= 1; owed -= 1) {
            table.claim({{1, random.next(), random.next()},
                         elapsed,
                         clock.now() + std::chrono::seconds{10}},
                        elapsed);
        }
        clock.advance(step);
        values.deliver(table);
        table.on_timer();
        for (const auto& event : table.take_events()) {
            if (event.status == claim_status::held) {
                table.complete(event.claim, "done");
            }
            refused += event.status == claim_status::refused ? 1 : 0;
        }
    }
    const auto cpu = processor_seconds() - before;
    const auto& counts = table.count();
    const auto claims = static_cast<double>(counts.claims);
    const auto seconds = static_cast<double>(run_steps) / steps_per_second;
    return {{{"actions_per_s", static_cast<double>(actions_per_second)},
             {"buckets", static_cast<double>(setup.buckets)},
             {"window_ms", static_cast<double>(setup.window.count())},
             {"max_batch", static_cast<double>(setup.max_batch)}},
            {{"writes_per_action", static_cast<double>(counts.writes) / claims},
             {"writes_per_s", static_cast<double>(counts.writes) / seconds},
             {"reads_per_s", static_cast<double>(counts.reads) / seconds},
             {"written_bytes_per_action", static_cast<double>(values.bytes_written) / claims},
             {"cpu_us_per_action", cpu / claims * 1e6},
             {"refused", static_cast<double>(refused)}}};
}

std::vector<sample> run(const capacity_options& options) {
    std::vector<sample> samples;
    for (const auto& setup : setups) {
        for (const std::uint64_t actions : {10, 100, 1000}) {
            samples.push_back(measure(setup, actions, options.seed));
        }
    }
    return samples;
}

const kernel::extension_point<measurement>::registration registered{
    {"claims",
     "claims and their ends for 5 s from empty buckets, store calls of 2 ms; max_batch 1 is "
     "without batching",
     {},
     run}};

}  // namespace
}  // namespace poplarfront::capacity
